import type { ServiceImpl } from "@connectrpc/connect";
import type { PeerService } from "@jujubeladder/protocol";
import type { PeerIdentity } from "@jujubeladder/types";
import type { Handover } from "./handover.js";
import type { Membership } from "./membership.js";
import type { OwnerLedger } from "./owner_ledger.js";
import type { PeerDirectory } from "./peer_directory.js";
import type { Successions } from "./successions.js";
import type { TicketService } from "./ticket_service.js";
import { toSubmissionResult } from "./to_submission_result.js";
import { toWitnessEntry } from "./to_witness_entry.js";
import type { WitnessLedger } from "./witness_ledger.js";

/** The parts that answer peers. */
interface PeerServiceParts {
  readonly identity: PeerIdentity;
  readonly incarnations: Set<string>;
  readonly membership: Membership;
  readonly directory: PeerDirectory;
  readonly successions: Successions;
  readonly tickets: TicketService;
  readonly owner: OwnerLedger;
  readonly witness: WitnessLedger;
  readonly handover: Handover;
  readonly document: () => { readonly revision: number; readonly text: string };
}

/** Answers the calls of peers. */
export function createPeerService(
  parts: PeerServiceParts,
): Partial<ServiceImpl<typeof PeerService>> {
  const { incarnations, witness } = parts;

  // The client of whoever answers for a witness that has left from here.
  const findSuccessor = async (incarnation: string) => {
    await parts.handover.waitUntilSettled();
    const { instanceId } = parts.identity;
    const gone = { instanceId, incarnation };
    const successor = parts.successions.resolve(gone);
    return successor === gone
      ? undefined
      : {
          identity: successor,
          client: parts.directory.find(successor.instanceId),
        };
  };

  return {
    gossip: (request) =>
      request.digest ? { digest: parts.membership.answer(request.digest) } : {},
    fetchDocument: (request) => {
      const { revision, text } = parts.document();
      const isWanted = revision >= Number(request.leastRevision);
      const documentJson = isWanted ? text : "";
      return { revision: BigInt(revision), documentJson };
    },
    runTicket: async (request) => {
      await parts.handover.waitUntilSettled();
      const { body: bytes, contentType } = request;
      const body = { bytes, contentType };
      const result = await parts.tickets.runForPeer(request.ticket, body);
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
        const kept = witness.recordResult(ticketId, toSubmissionResult(result));
        return { isRecorded: kept };
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
      const isMeant =
        request.successor?.incarnation === parts.identity.incarnation;
      if (!isMeant || parts.membership.isLeaving) return { isAccepted: false };
      for (const record of request.ownerRecords) {
        if (!record.result) continue;
        const expiresAtMs = Number(record.expiresAtMs);
        const result = toSubmissionResult(record.result);
        parts.owner.importRecord(record.ticketId, expiresAtMs, result);
      }
      for (const record of request.witnessRecords) {
        witness.importRecord(record.ticketId, toWitnessEntry(record));
      }
      for (const incarnation of request.inheritedIncarnations) {
        incarnations.add(incarnation);
        parts.successions.note(incarnation, parts.identity);
      }
      return { isAccepted: true };
    },
  };
}
