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
const TRIES = 5;
const TRY_INTERVAL_MS = 300;

type Offer = "accepted" | "refused" | "unknown";

/**
 * Hands the ledgers of a leaving instance to one successor. From the first
 * offer on the instance answers for no ticket itself. A successor whose
 * answer was lost is the only one that is ever asked again: two successors
 * could say different things.
 */
export class Handover {
  readonly #identity: PeerIdentity;
  readonly #incarnations: Set<string>;
  readonly #owner: OwnerLedger;
  readonly #witness: WitnessLedger;
  readonly #membership: Membership;
  readonly #directory: PeerDirectory;
  readonly #successions: Successions;
  readonly #logger: Logger;
  #finished: Promise<void> | undefined;

  constructor(options: {
    readonly identity: PeerIdentity;
    /** Incarnations that this process answers for; emptied on leaving. */
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

  /** Resolves when a handover that has begun is over; at once without. */
  async waitUntilSettled(): Promise<void> {
    await this.#finished;
  }

  /** Hands over everything; call when no run is active any more. */
  async run(): Promise<void> {
    this.#finished = this.#handOver();
    await this.#finished;
  }

  async #handOver(): Promise<void> {
    const inherited = [...this.#incarnations];
    this.#incarnations.clear();
    for (const peer of this.#membership.listAlive()) {
      if (peer.isLeaving) continue;
      const offer = await this.#offerPersistently(peer, inherited);
      if (offer === "refused") continue;
      if (offer === "accepted") await this.#announce(peer, inherited);
      this.#logger.info("handover", { successor: peer.instanceId, offer });
      return;
    }
    this.#logger.warn("handover", { offer: "no_successor" });
  }

  async #announce(
    peer: PeerState,
    inherited: readonly string[],
  ): Promise<void> {
    const { instanceId, incarnation } = peer;
    for (const from of inherited) {
      this.#successions.note(from, { instanceId, incarnation });
    }
    await this.#membership.pushToAll();
  }

  async #offerPersistently(
    peer: PeerState,
    inherited: readonly string[],
  ): Promise<Offer> {
    for (let attempt = 0; attempt < TRIES; attempt += 1) {
      const offer = await this.#offer(peer, inherited);
      if (offer !== "unknown") return offer;
      await sleep(TRY_INTERVAL_MS);
    }
    return "unknown";
  }

  async #offer(peer: PeerState, inherited: readonly string[]): Promise<Offer> {
    const client = this.#directory.find(peer.instanceId);
    if (!client) return "refused";
    try {
      const answer = await client.takeOver(
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
      return answer.isAccepted ? "accepted" : "refused";
    } catch (error) {
      this.#logger.warn("handover_offer_failed", {
        peer: peer.instanceId,
        reason: describeError(error),
      });
      return "unknown";
    }
  }
}
