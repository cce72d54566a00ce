import { monotonicMs } from "@jujubeladder/utils";
import type { SuspicionStatus } from "./suspicion_status.js";

const DEFAULT_QUARANTINE_LOSSES = 2;
const FADE_MS = 600_000;
const MAX_SUSPICIONS = 1_000;

interface Suspicion {
  readonly lostRunners: Set<string>;
  notedAtMs: number;
  clearedLosses: number;
}

/**
 * Fingerprints of requests that were running when runners were lost. One
 * loss makes a suspect, losses of two different runners a quarantine;
 * both fade.
 */
export class Quarantine {
  readonly #suspicions = new Map<string, Suspicion>();
  readonly #quarantineLosses: number;

  /** `quarantineLosses`: runners lost to one request until it is barred. */
  constructor(quarantineLosses = DEFAULT_QUARANTINE_LOSSES) {
    this.#quarantineLosses = quarantineLosses;
  }

  /** Notes losses; true when something was not known before. */
  noteLosses(
    fingerprint: string,
    runnerIds: readonly string[],
    ageMs = 0,
  ): boolean {
    const known = this.#suspicions.get(fingerprint);
    const suspicion = known ?? {
      lostRunners: new Set<string>(),
      notedAtMs: monotonicMs() - ageMs,
      clearedLosses: 0,
    };
    const sizeBefore = suspicion.lostRunners.size;
    for (const runnerId of runnerIds) suspicion.lostRunners.add(runnerId);
    if (suspicion.lostRunners.size === sizeBefore) return false;
    suspicion.notedAtMs = Math.max(suspicion.notedAtMs, monotonicMs() - ageMs);
    this.#suspicions.set(fingerprint, suspicion);
    this.#forgetOld();
    return true;
  }

  /** Notes that a suspect was served without a loss. */
  noteServed(fingerprint: string): void {
    const suspicion = this.#suspicions.get(fingerprint);
    if (suspicion) suspicion.clearedLosses = suspicion.lostRunners.size;
  }

  status(fingerprint: string): SuspicionStatus {
    const suspicion = this.#suspicions.get(fingerprint);
    if (!suspicion || this.#hasFaded(suspicion)) return { type: "clear" };
    const lostRunners = [...suspicion.lostRunners];
    const losses = lostRunners.length - suspicion.clearedLosses;
    if (losses <= 0) return { type: "clear" };
    return losses >= this.#quarantineLosses
      ? { type: "quarantined", lostRunners }
      : { type: "suspect", lostRunners };
  }

  /** Suspicions for peers, newest first. */
  list(limit: number): readonly {
    readonly fingerprint: string;
    readonly lostRunners: readonly string[];
    readonly ageMs: number;
  }[] {
    const nowMs = monotonicMs();
    return [...this.#suspicions]
      .filter(([, suspicion]) => !this.#hasFaded(suspicion))
      .slice(-limit)
      .map(([fingerprint, suspicion]) => ({
        fingerprint,
        lostRunners: [...suspicion.lostRunners],
        ageMs: nowMs - suspicion.notedAtMs,
      }));
  }

  #hasFaded(suspicion: Suspicion): boolean {
    return monotonicMs() - suspicion.notedAtMs > FADE_MS;
  }

  #forgetOld(): void {
    for (const [fingerprint, suspicion] of this.#suspicions) {
      const isOver = this.#suspicions.size > MAX_SUSPICIONS;
      if (!isOver && !this.#hasFaded(suspicion)) return;
      this.#suspicions.delete(fingerprint);
    }
  }
}
