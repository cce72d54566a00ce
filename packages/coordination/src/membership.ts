import Emittery from "emittery";
import type { Digest } from "@jujubeladder/protocol";
import type { Logger } from "@jujubeladder/logger";
import type { Instance } from "@jujubeladder/types";
import {
  describeError,
  monotonicMs,
  RendezvousOrder,
  readClocks,
  sleep,
  type ClockReading,
} from "@jujubeladder/utils";
import { createDigest } from "./create_digest.js";
import { decodePartEvidence } from "./decode_part_evidence.js";
import { createLossReport } from "./create_loss_report.js";
import type { DigestExchange } from "./digest_exchange.js";
import { DocumentFetcher } from "./document_fetcher.js";
import { EvidencePush } from "./evidence_push.js";
import type { GossipPace } from "./gossip_pace.js";
import type { GossipState } from "./gossip_state.js";
import { LossReports } from "./loss_reports.js";
import type { PeerDirectory } from "./peer_directory.js";
import type { PeerState } from "./peer_state.js";
import { shuffle } from "./shuffle.js";

const DEFAULT_PACE: GossipPace = { intervalMs: 500, nearFanout: 2 };
const NEIGHBOUR_COUNT = 8;
const CALL_TIMEOUT_MS = 1_500;
const LIVENESS_TIMEOUT_MS = 4_000;

/**
 * Gossip between instances: in each interval, an instance exchanges digests
 * with a few neighbours and one random instance. The cost per instance does not
 * grow with the fleet, and updates reach all instances within a few rounds.
 * Evidence on requests and parts of prompts that crash runners does not wait for
 * the next interval.
 */
export class Membership {
  readonly events = new Emittery<{ merged: undefined }>();
  readonly #state: GossipState;
  readonly #directory: PeerDirectory;
  readonly #documents: DocumentFetcher;
  readonly #listInstances: () => readonly Instance[];
  readonly #logger: Logger;
  readonly #pace: () => GossipPace;
  readonly #datagrams: DigestExchange | undefined;
  readonly #peers = new Map<string, PeerState>();
  readonly #push: EvidencePush;
  readonly #lossReports: LossReports;
  readonly #nearOrder: RendezvousOrder;
  readonly #farOrder: RendezvousOrder;
  #isLeaving = false;

  constructor(
    state: GossipState,
    options: {
      readonly directory: PeerDirectory;
      readonly listInstances: () => readonly Instance[];
      readonly logger: Logger;
      /** Called before each interval, since it depends on the fleet's size. */
      readonly pace?: () => GossipPace;
      /** Tried before a call is made. */
      readonly datagrams?: DigestExchange;
      /** Chooses the peers that news is pushed to. */
      readonly random?: () => number;
    },
  ) {
    this.#state = state;
    this.#nearOrder = new RendezvousOrder(state.identity.instanceId);
    this.#farOrder = new RendezvousOrder(state.identity.instanceId);
    this.#directory = options.directory;
    this.#documents = new DocumentFetcher(state, options);
    this.#listInstances = options.listInstances;
    this.#logger = options.logger;
    this.#pace = options.pace ?? (() => DEFAULT_PACE);
    this.#datagrams = options.datagrams;
    this.#push = new EvidencePush({
      listPeers: () => this.#listPeers().map((peer) => peer.instanceId),
      exchange: (instanceId) => void this.#exchange(instanceId),
      random: options.random ?? Math.random,
    });
    const { instanceId: ownId } = state.identity;
    this.#lossReports = new LossReports({
      listInstanceIds: () => [
        ownId,
        ...this.#listPeers().map((peer) => peer.instanceId),
      ],
      report: (instanceId, fingerprints) => {
        if (instanceId === ownId) return;
        void this.#exchange(
          instanceId,
          createLossReport(state, this.#isLeaving, fingerprints),
        );
      },
    });
  }

  get isLeaving(): boolean {
    return this.#isLeaving;
  }

  get availabilityZone(): string {
    return this.#state.availabilityZone;
  }

  /** True if the peer is listed in the same region as this instance. */
  isInSameRegion(instanceId: string): boolean {
    const peer = this.#listPeers().find((p) => p.instanceId === instanceId);
    return peer?.region === this.#state.region;
  }

  /** Peers heard from within the liveness timeout, own region first. */
  listAlive(): readonly PeerState[] {
    const sinceMs = monotonicMs() - LIVENESS_TIMEOUT_MS;
    const alive = [...this.#peers.values()].filter(
      (peer) => peer.heardAtMs >= sinceMs,
    );
    const ranks = this.#rankNeighbours();
    return alive.sort(
      (a, b) => rankOf(ranks, a.instanceId) - rankOf(ranks, b.instanceId),
    );
  }

  /** Gossips until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const { intervalMs, nearFanout } = this.#pace();
      for (const instanceId of this.#pickTargets(nearFanout)) {
        void this.#exchange(instanceId);
      }
      await sleep(intervalMs * (0.75 + Math.random() / 2), signal);
    }
  }

  /** Exchanges digests with all listed peers; resolves even if calls fail. */
  async pushToAll(): Promise<void> {
    const peers = this.#listPeers();
    await Promise.all(
      peers.map(async (peer) => this.#exchange(peer.instanceId)),
    );
  }

  /**
   * Spreads new evidence of this instance: it soon exchanges digests with a few
   * random peers, and those to which it is new do the same.
   */
  spread(): void {
    this.#push.spread();
  }

  /**
   * Reports a loss of a request that this instance has recorded or cleared to
   * the peers at which its losses meet; a verdict spreads from wherever it is
   * reached.
   */
  reportSuspicion(fingerprint: string): void {
    this.#lossReports.add(fingerprint);
    if (this.#isQuarantined(fingerprint)) this.#push.spread();
  }

  async leave(): Promise<void> {
    this.#isLeaving = true;
    await this.pushToAll();
  }

  /** Merges a peer's digest and returns this instance's own digest. */
  handleDigest(digest: Digest): Digest {
    const peer = digest.sender?.instanceId ?? "";
    void this.#merge(digest).catch((error: unknown) => {
      this.#logFailure(peer, error);
    });
    return createDigest(this.#state, this.#isLeaving);
  }

  async #exchange(instanceId: string, report?: Digest): Promise<void> {
    try {
      const digest = report ?? createDigest(this.#state, this.#isLeaving);
      if (!(await this.#exchangeDatagrams(instanceId, digest))) {
        await this.#call(instanceId, digest);
      }
    } catch (error) {
      this.#logFailure(instanceId, error);
    }
  }

  #logFailure(peer: string, error: unknown): void {
    const reason = describeError(error);
    this.#logger.error("peer_exchange_failed", { peer, reason });
  }

  async #exchangeDatagrams(instanceId: string, own: Digest): Promise<boolean> {
    if (!this.#datagrams) return false;
    const peer = this.#listPeers().find((p) => p.instanceId === instanceId);
    if (!peer) return false;
    const sentAt = readClocks();
    const digest = await this.#datagrams.exchangeDigests(
      { host: peer.host, port: peer.peerPort },
      own,
    );
    if (digest) await this.#merge(digest, sentAt);
    return digest !== undefined;
  }

  async #call(instanceId: string, own: Digest): Promise<void> {
    const client = this.#directory.find(instanceId);
    if (!client) return;
    const sentAt = readClocks();
    try {
      const response = await client.gossip(
        { digest: own },
        { timeoutMs: CALL_TIMEOUT_MS },
      );
      if (response.digest) await this.#merge(response.digest, sentAt);
    } catch (error) {
      if (!this.#peers.delete(instanceId)) return;
      this.#logger.warn("peer_unreachable", {
        peer: instanceId,
        reason: describeError(error),
      });
    }
  }

  async #merge(digest: Digest, sentAt?: ClockReading): Promise<void> {
    const { sender } = digest;
    if (!sender) return;
    const known = this.#peers.get(sender.instanceId);
    if (known?.incarnation !== sender.incarnation) {
      this.#logger.info("peer_heard", {
        peer: sender.instanceId,
        incarnation: sender.incarnation,
      });
    }
    this.#peers.set(sender.instanceId, {
      instanceId: sender.instanceId,
      incarnation: sender.incarnation,
      availabilityZone: digest.availabilityZone,
      isLeaving: digest.isLeaving,
      revision: Number(digest.revision),
      heardAtMs: monotonicMs(),
    });
    this.#state.extension?.merge(digest, sentAt);
    const { leavingRunners, partEvidence, quarantine, successions } =
      this.#state;
    for (const [index, runnerId] of digest.leavingRunners.entries()) {
      leavingRunners.add(runnerId, digest.leavingAgesMs[index]);
    }
    for (const suspicion of digest.suspicions) {
      const { fingerprint, lostRunners } = suspicion;
      const wasQuarantined = this.#isQuarantined(fingerprint);
      quarantine.merge(suspicion);
      const status = quarantine.status(fingerprint);
      if (wasQuarantined || status.type !== "quarantined") continue;
      // The verdict is this instance's own where the losses met here only.
      if (status.lostRunners.every((lost) => lostRunners.includes(lost)))
        this.#push.relay();
      else this.#push.spread();
    }
    for (const { fromIncarnation, successor, ageMs } of digest.successions) {
      if (successor) successions.record(fromIncarnation, successor, ageMs);
    }
    const parts = decodePartEvidence(digest);
    if (parts.length > 0 && partEvidence?.merge(parts)) this.#push.relay();
    void this.events.emit("merged");
    await this.#documents.fetchIfNewer(digest);
  }

  #isQuarantined(fingerprint: string): boolean {
    return this.#state.quarantine.status(fingerprint).type === "quarantined";
  }

  #pickTargets(nearFanout: number): readonly string[] {
    const neighbours = [...this.#rankNeighbours().slice(0, NEIGHBOUR_COUNT)];
    const near = shuffle(neighbours).slice(0, nearFanout);
    const all = this.#listPeers().map((peer) => peer.instanceId);
    const random = all[Math.floor(Math.random() * all.length)];
    return [...new Set(random === undefined ? near : [...near, random])];
  }

  // Lists peers of the same region first. The rendezvous key is this instance's
  // id: each instance has its own order, so that witnesses are chosen evenly.
  #rankNeighbours(): readonly string[] {
    const peers = this.#listPeers();
    const { region } = this.#state;
    const ids = (isSameRegion: boolean) =>
      peers
        .filter((peer) => (peer.region === region) === isSameRegion)
        .map((peer) => peer.instanceId);
    return [
      ...this.#nearOrder.rank(ids(true)),
      ...this.#farOrder.rank(ids(false)),
    ];
  }

  #listPeers(): readonly Instance[] {
    const own = this.#state.identity.instanceId;
    return this.#listInstances().filter((peer) => peer.instanceId !== own);
  }
}

function rankOf(ranks: readonly string[], instanceId: string): number {
  const index = ranks.indexOf(instanceId);
  return index === -1 ? ranks.length : index;
}
