import type { Logger } from "@jujubeladder/logger";
import type { PeerIdentity } from "@jujubeladder/types";
import { describeError, sleep } from "@jujubeladder/utils";
import type { Membership } from "./membership.js";
import type { OwnerLedger } from "./owner_ledger.js";
import type { PeerDirectory } from "./peer_directory.js";
import type { PeerState } from "./peer_state.js";
import type { Successions } from "./successions.js";
import { toWitnessRecord } from "./to_witness_record.js";
import type { WitnessLedger } from "./witness_ledger.js";

const CALL_TIMEOUT_MS = 5_000;
const MAX_ATTEMPTS = 5;
const RETRY_INTERVAL_MS = 300;

type OfferOutcome = "accepted" | "refused" | "unknown";

/**
 * Hands the ledgers of a leaving instance off to one successor. Once the first
 * offer is sent, the instance no longer answers for any ticket itself. A peer
 * whose response was lost may have accepted, so that peer is retried and no
 * other is tried: two successors could both run a ticket.
 */
export class Handoff {
  readonly #identity: PeerIdentity;
  readonly #incarnations: Set<string>;
  readonly #owner: OwnerLedger;
  readonly #witness: WitnessLedger;
  readonly #membership: Membership;
  readonly #directory: PeerDirectory;
  readonly #successions: Successions;
  readonly #logger: Logger;
  #completion: Promise<void> | undefined;

  constructor(options: {
    readonly identity: PeerIdentity;
    /** Incarnations served by this process; cleared when it leaves. */
    readonly incarnations: Set<string>;
    readonly owner: OwnerLedger;
    readonly witness: WitnessLedger;
    readonly membership: Membership;
    readonly directory: PeerDirectory;
    readonly successions: Successions;
    readonly logger: Logger;
  }) {
    this.#identity = options.identity;
    this.#incarnations = options.incarnations;
    this.#owner = options.owner;
    this.#witness = options.witness;
    this.#membership = options.membership;
    this.#directory = options.directory;
    this.#successions = options.successions;
    this.#logger = options.logger;
  }

  /** Resolves once a handoff in progress has ended; at once if none is. */
  async waitUntilSettled(): Promise<void> {
    await this.#completion;
  }

  /** Hands off all records; call only after every active run has ended. */
  async run(): Promise<void> {
    this.#completion = this.#handOff();
    await this.#completion;
  }

  async #handOff(): Promise<void> {
    const inherited = [...this.#incarnations];
    this.#incarnations.clear();
    for (const peer of this.#membership.listAlive()) {
      if (peer.isLeaving) continue;
      const offer = await this.#offerWithRetries(peer, inherited);
      if (offer === "refused") continue;
      if (offer === "accepted") await this.#announceSuccessor(peer, inherited);
      this.#logger.info("handover", { successor: peer.instanceId, offer });
      return;
    }
    this.#logger.warn("handover", { offer: "no_successor" });
  }

  async #announceSuccessor(
    peer: PeerState,
    inherited: readonly string[],
  ): Promise<void> {
    const { instanceId, incarnation } = peer;
    for (const from of inherited) {
      this.#successions.record(from, { instanceId, incarnation });
    }
    await this.#membership.pushToAll();
  }

  async #offerWithRetries(
    peer: PeerState,
    inherited: readonly string[],
  ): Promise<OfferOutcome> {
    const first = await this.#offer(peer, inherited);
    if (first !== "unknown") return first;
    // Only acceptance can still be believed: a refusal may come from a later
    // incarnation, whose predecessor accepted and handed the tickets on.
    for (let attempt = 1; attempt < MAX_ATTEMPTS; attempt += 1) {
      await sleep(RETRY_INTERVAL_MS);
      const offer = await this.#offer(peer, inherited);
      if (offer === "accepted") return offer;
    }
    return "unknown";
  }

  async #offer(
    peer: PeerState,
    inherited: readonly string[],
  ): Promise<OfferOutcome> {
    const client = this.#directory.find(peer.instanceId);
    if (!client) return "refused";
    try {
      const response = await client.takeOver(
        {
          from: this.#identity,
          successor: {
            instanceId: peer.instanceId,
            incarnation: peer.incarnation,
          },
          inheritedIncarnations: [...inherited],
          ownerRecords: this.#owner.exportRecords().map((record) => ({
            ...record,
            expiresAtMs: BigInt(record.expiresAtMs),
          })),
          witnessRecords: this.#witness
            .exportRecords()
            .map(([ticketId, entry]) => toWitnessRecord(ticketId, entry)),
        },
        { timeoutMs: CALL_TIMEOUT_MS },
      );
      return response.isAccepted ? "accepted" : "refused";
    } catch (error) {
      this.#logger.warn("handover_offer_failed", {
        peer: peer.instanceId,
        reason: describeError(error),
      });
      return "unknown";
    }
  }
}
