import { toBinary } from "@bufbuild/protobuf";
import { DigestSchema, type Digest } from "@jujubeladder/protocol";
import { chooseCollectors } from "../choose_collectors.js";
import { createDigest } from "../create_digest.js";
import { createLossReport } from "../create_loss_report.js";
import { fitDigest } from "../fit_digest.js";
import type { GossipState } from "../gossip_state.js";
import { LeavingRunners } from "../leaving_runners.js";
import { Quarantine } from "../quarantine.js";
import { Successions } from "../successions.js";
import type { EventQueue } from "./event_queue.js";

const THRESHOLD = 3;
const MAX_DIGEST_BYTES = 1_388;
const LARGE_FLEET = 16;
const MEMBERS_PER_DIGEST = 16;
const RUNNERS_IN_USE = 8;
const PUSH_DELAY_MS = 100;
const PUSH_FAN_OUT = 4;

/** Instances that tell each other of requests, in digests as they are sent. */
export class RequestGossip {
  readonly quarantines: Quarantine[];
  /** Instances that neither send nor receive. */
  readonly silent = new Set<number>();
  readonly #events: EventQueue;
  readonly #random: () => number;
  readonly #willPush = new Set<number>();
  readonly #lossShare: number;
  readonly #isLarge: boolean;

  constructor(options: {
    readonly count: number;
    readonly lossShare: number;
    readonly events: EventQueue;
    readonly random: () => number;
  }) {
    this.#events = options.events;
    this.#random = options.random;
    this.#lossShare = options.lossShare;
    this.#isLarge = options.count > LARGE_FLEET;
    this.quarantines = Array.from({ length: options.count }, () =>
      this.#createQuarantine(),
    );
    for (let index = 0; index < options.count; index += 1)
      this.#events.schedule(this.#random() * this.#roundMs, () => {
        this.#gossip(index);
      });
  }

  /** Records a loss that an instance has seen. */
  recordLoss(index: number, fingerprint: string, incarnationId: string): void {
    const quarantine = this.quarantines[index];
    if (!quarantine?.recordLosses(fingerprint, [incarnationId])) return;
    const isVerdict = quarantine.status(fingerprint).type === "quarantined";
    if (isVerdict) this.#push(index);
    this.#report(index, fingerprint);
  }

  /** Records that an instance has served a request whole. */
  recordServed(index: number, fingerprint: string): void {
    const quarantine = this.quarantines[index];
    const wasSuspect = quarantine?.status(fingerprint).type === "suspect";
    quarantine?.recordSuccess(fingerprint);
    if (wasSuspect) this.#report(index, fingerprint);
  }

  /** Forgets all, like a new process. */
  restart(index: number): void {
    this.quarantines[index] = this.#createQuarantine();
  }

  get #roundMs(): number {
    return this.#isLarge ? 1_000 : 500;
  }

  #createQuarantine(): Quarantine {
    return new Quarantine(THRESHOLD, { readMs: () => this.#events.nowMs });
  }

  #gossip(index: number): void {
    const peerCount = this.#isLarge ? 2 : 3;
    for (let n = 0; n < peerCount; n += 1) {
      const peer = this.#choosePeer(index);
      if (this.#send(index, peer)) this.#send(peer, index);
    }
    const delayMs = this.#roundMs * (0.75 + this.#random() / 2);
    this.#events.schedule(delayMs, () => {
      this.#gossip(index);
    });
  }

  #report(index: number, fingerprint: string): void {
    this.#events.schedule(this.#random() * PUSH_DELAY_MS, () => {
      const ids = this.quarantines.map((_, id) => String(id));
      for (const id of chooseCollectors(fingerprint, ids))
        if (Number(id) !== index) this.#send(index, Number(id), [fingerprint]);
    });
  }

  #push(index: number): void {
    if (this.#willPush.has(index)) return;
    this.#willPush.add(index);
    this.#events.schedule(this.#random() * PUSH_DELAY_MS, () => {
      this.#willPush.delete(index);
      for (let n = 0; n < PUSH_FAN_OUT; n += 1)
        this.#send(index, this.#choosePeer(index));
    });
  }

  #merge(index: number, digest: Digest): void {
    const quarantine = this.quarantines[index];
    for (const suspicion of digest.suspicions) {
      const { fingerprint } = suspicion;
      const before = quarantine?.status(fingerprint).type;
      quarantine?.merge(suspicion);
      const after = quarantine?.status(fingerprint).type;
      if (before !== after && after === "quarantined") this.#push(index);
    }
  }

  #send(from: number, to: number, reported: readonly string[] = []): boolean {
    if (this.silent.has(from) || this.silent.has(to)) return false;
    if (this.#random() < this.#lossShare) return false;
    const digest = this.#createDigest(from, reported);
    this.#events.schedule(5 + this.#random() * 75, () => {
      this.#merge(to, digest);
    });
    return true;
  }

  #createDigest(index: number, reported: readonly string[]): Digest {
    const state = this.#toState(index);
    const digest =
      reported.length > 0
        ? createLossReport(state, false, reported)
        : createDigest(state, false);
    const excessBytes =
      toBinary(DigestSchema, digest).length - MAX_DIGEST_BYTES;
    return excessBytes <= 0
      ? digest
      : (fitDigest(digest, excessBytes) ?? digest);
  }

  #toState(index: number): GossipState {
    return {
      identity: {
        instanceId: `10.1.0.${index}:7200`,
        incarnation: "x".repeat(16),
      },
      availabilityZone: "centro-a",
      region: "mx-centro",
      leavingRunners: new LeavingRunners(),
      quarantine: this.quarantines[index] ?? this.#createQuarantine(),
      successions: new Successions(1_000),
      revision: () => 61,
      documentHash: () => "x".repeat(64),
      offerDocument: () => undefined,
      extension: {
        describe: () => describeFleet(this.quarantines.length - 1),
        merge: () => undefined,
      },
    };
  }

  #choosePeer(index: number): number {
    const others = this.quarantines.length - 1;
    const step = 1 + Math.floor(this.#random() * others);
    return (index + step) % this.quarantines.length;
  }
}

function describeFleet(peerCount: number) {
  const memberCount = Math.min(peerCount, MEMBERS_PER_DIGEST);
  return {
    knownInstances: peerCount + 1,
    members: Array.from({ length: memberCount }, (_, index) => ({
      address: `10.1.0.${100 + index}:7200`,
      region: "mx-centro",
      availabilityZone: "centro-a",
      heardAgeMs: 900,
    })),
    runnerShares: Array.from({ length: RUNNERS_IN_USE }, (_, index) => ({
      runnerId: `i-9fbb857a6${index}`,
      requests: 2,
      peakTokens: 3_000,
      unreadTokens: 500,
    })),
  };
}
