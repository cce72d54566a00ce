import type { ServiceImpl } from "@connectrpc/connect";
import type { PeerService } from "@jujubeladder/protocol";
import type { PeerIdentity } from "@jujubeladder/types";
import type { Handoff } from "./handoff.js";
import type { Membership } from "./membership.js";
import type { OwnerLedger } from "./owner_ledger.js";
import type { PeerDirectory } from "./peer_directory.js";
import type { Successions } from "./successions.js";
import type { TicketService } from "./ticket_service.js";
import { toSubmissionResult } from "./to_submission_result.js";
import { toWitnessEntry } from "./to_witness_entry.js";
import type { WitnessLedger } from "./witness_ledger.js";

/** Components that handle calls from peers. */
interface PeerServiceDependencies {
  readonly identity: PeerIdentity;
  readonly incarnations: Set<string>;
  readonly membership: Membership;
  readonly directory: PeerDirectory;
  readonly successions: Successions;
  readonly tickets: TicketService;
  readonly owner: OwnerLedger;
  readonly witness: WitnessLedger;
  readonly handoff: Handoff;
  readonly document: () => { readonly revision: number; readonly text: string };
}

/** Creates the handlers of the peer protocol. */
export function createPeerService(
  dependencies: PeerServiceDependencies,
): Partial<ServiceImpl<typeof PeerService>> {
  const { incarnations, witness } = dependencies;
  // Incarnations whose offer was accepted; an offer is repeated if its response
  // was lost, perhaps when this instance is leaving itself.
  const acceptedFrom = new Set<string>();

  // Finds the successor of a witness that has left. Waits for a handoff in
  // progress, since the witness may be this instance itself.
  const findSuccessor = async (incarnation: string) => {
    await dependencies.handoff.waitUntilSettled();
    const { instanceId } = dependencies.identity;
    const departed = { instanceId, incarnation };
    const successor = dependencies.successions.resolve(departed);
    return successor === departed
      ? undefined
      : {
          identity: successor,
          client: dependencies.directory.find(successor.instanceId),
        };
  };

  return {
    gossip: (request) =>
      request.digest
        ? { digest: dependencies.membership.handleDigest(request.digest) }
        : {},
    fetchDocument: (request) => {
      const { revision, text } = dependencies.document();
      const isRecentEnough = revision >= Number(request.leastRevision);
      const documentJson = isRecentEnough ? text : "";
      return { revision: BigInt(revision), documentJson };
    },
    runTicket: async (request) => {
      await dependencies.handoff.waitUntilSettled();
      const { body: bytes, contentType } = request;
      const body = { bytes, contentType };
      const result = await dependencies.tickets.runForPeer(
        request.ticket,
        body,
      );
      return result ? { result } : { isNotOwner: true };
    },
    recordStart: async (request) => {
      const { ticketId, ownerIncarnation } = request;
      if (incarnations.has(request.witnessIncarnation)) {
        const expiresAtMs = Number(request.expiresAtMs);
        const start = { ownerIncarnation, expiresAtMs };
        return { verdict: witness.recordStart(ticketId, start) };
      }
      const next = await findSuccessor(request.witnessIncarnation);
      if (!next?.client) return { verdict: "unknown_witness" };
      const witnessIncarnation = next.identity.incarnation;
      return await next.client.recordStart({ ...request, witnessIncarnation });
    },
    recordResult: async (request) => {
      const { ticketId, result } = request;
      if (incarnations.has(request.witnessIncarnation) && result) {
        const isRecorded = witness.recordResult(
          ticketId,
          toSubmissionResult(result),
        );
        return { isRecorded };
      }
      const next = await findSuccessor(request.witnessIncarnation);
      if (!next?.client) return { isRecorded: false };
      const witnessIncarnation = next.identity.incarnation;
      return await next.client.recordResult({ ...request, witnessIncarnation });
    },
    resolveTicket: async (request) => {
      const { ticketId } = request;
      if (incarnations.has(request.witnessIncarnation)) {
        const expiresAtMs = Number(request.expiresAtMs);
        const { type, ...rest } = witness.resolve(ticketId, expiresAtMs);
        return { verdict: type, ...rest };
      }
      const next = await findSuccessor(request.witnessIncarnation);
      if (!next?.client) return { verdict: "unknown_witness" };
      const witnessIncarnation = next.identity.incarnation;
      return await next.client.resolveTicket({
        ...request,
        witnessIncarnation,
      });
    },
    takeOver: (request) => {
      const fromIncarnation = request.from?.incarnation;
      if (fromIncarnation === undefined) return { isAccepted: false };
      if (acceptedFrom.has(fromIncarnation)) return { isAccepted: true };
      const isIntendedSuccessor =
        request.successor?.incarnation === dependencies.identity.incarnation;
      if (!isIntendedSuccessor || dependencies.membership.isLeaving)
        return { isAccepted: false };
      acceptedFrom.add(fromIncarnation);
      for (const record of request.ownerRecords) {
        if (!record.result) continue;
        const expiresAtMs = Number(record.expiresAtMs);
        const result = toSubmissionResult(record.result);
        dependencies.owner.importRecord(record.ticketId, expiresAtMs, result);
      }
      for (const record of request.witnessRecords) {
        witness.importRecord(record.ticketId, toWitnessEntry(record));
      }
      for (const incarnation of request.inheritedIncarnations) {
        incarnations.add(incarnation);
        dependencies.successions.record(incarnation, dependencies.identity);
      }
      return { isAccepted: true };
    },
  };
}
