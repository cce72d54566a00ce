import { monotonicMs } from "@jujubeladder/utils";
import type { SuspicionStatus } from "./suspicion_status.js";

const DEFAULT_QUARANTINE_THRESHOLD = 2;
const RETENTION_MS = 600_000;
const MAX_SUSPICIONS = 1_000;

interface Suspicion {
  readonly lostRunners: Set<string>;
  lastLossAtMs: number;
  clearedLosses: number;
}

/**
 * Tracks the fingerprints of requests that were running when runners were lost.
 * A fingerprint that has lost a runner is a suspect; once it has lost as many
 * different runners as the threshold, it is quarantined. Both states expire.
 */
export class Quarantine {
  readonly #suspicions = new Map<string, Suspicion>();
  readonly #quarantineThreshold: number;

  /** `quarantineThreshold`: lost runners at which a request is quarantined. */
  constructor(quarantineThreshold = DEFAULT_QUARANTINE_THRESHOLD) {
    this.#quarantineThreshold = quarantineThreshold;
  }

  /** True if no fingerprint has been recorded, so that all are clear. */
  get isEmpty(): boolean {
    return this.#suspicions.size === 0;
  }

  /** Records lost runners; returns true if any was not known before. */
  recordLosses(
    fingerprint: string,
    runnerIds: readonly string[],
    ageMs = 0,
  ): boolean {
    const known = this.#suspicions.get(fingerprint);
    const suspicion = known ?? {
      lostRunners: new Set<string>(),
      lastLossAtMs: monotonicMs() - ageMs,
      clearedLosses: 0,
    };
    const sizeBefore = suspicion.lostRunners.size;
    for (const runnerId of runnerIds) suspicion.lostRunners.add(runnerId);
    if (suspicion.lostRunners.size === sizeBefore) return false;
    suspicion.lastLossAtMs = Math.max(
      suspicion.lastLossAtMs,
      monotonicMs() - ageMs,
    );
    this.#suspicions.set(fingerprint, suspicion);
    this.#evictExpired();
    return true;
  }

  /** Clears the losses so far of a suspect that was served without a loss. */
  recordSuccess(fingerprint: string): void {
    const suspicion = this.#suspicions.get(fingerprint);
    if (suspicion) suspicion.clearedLosses = suspicion.lostRunners.size;
  }

  status(fingerprint: string): SuspicionStatus {
    const suspicion = this.#suspicions.get(fingerprint);
    if (!suspicion || this.#isExpired(suspicion)) return { type: "clear" };
    const lostRunners = [...suspicion.lostRunners];
    const losses = lostRunners.length - suspicion.clearedLosses;
    if (losses <= 0) return { type: "clear" };
    return losses >= this.#quarantineThreshold
      ? { type: "quarantined", lostRunners }
      : { type: "suspect", lostRunners };
  }

  /** Returns the suspicions added last, for gossip, in order of addition. */
  list(limit: number): readonly {
    readonly fingerprint: string;
    readonly lostRunners: readonly string[];
    readonly ageMs: number;
  }[] {
    const nowMs = monotonicMs();
    return [...this.#suspicions]
      .filter(([, suspicion]) => !this.#isExpired(suspicion))
      .slice(-limit)
      .map(([fingerprint, suspicion]) => ({
        fingerprint,
        lostRunners: [...suspicion.lostRunners],
        ageMs: nowMs - suspicion.lastLossAtMs,
      }));
  }

  #isExpired(suspicion: Suspicion): boolean {
    return monotonicMs() - suspicion.lastLossAtMs > RETENTION_MS;
  }

  #evictExpired(): void {
    for (const [fingerprint, suspicion] of this.#suspicions) {
      const isOverLimit = this.#suspicions.size > MAX_SUSPICIONS;
      if (!isOverLimit && !this.#isExpired(suspicion)) return;
      this.#suspicions.delete(fingerprint);
    }
  }
}
