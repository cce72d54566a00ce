import { monotonicMs } from "@jujubeladder/utils";

const RETENTION_MS = 120_000;

/**
 * Runners known to be leaving, from the runners themselves or from gossip. A
 * mark ends at about the same time at all instances, so that none gets it back.
 */
export class LeavingRunners {
  readonly #knownSinceMs = new Map<string, number>();

  /**
   * Records a runner that was known to be leaving `ageMs` ago; returns true if
   * it was not known before.
   */
  add(runnerId: string, ageMs = 0): boolean {
    if (ageMs > RETENTION_MS) return false;
    const isNew = !this.has(runnerId);
    const sinceMs = monotonicMs() - ageMs;
    const knownSinceMs = this.#knownSinceMs.get(runnerId) ?? sinceMs;
    this.#knownSinceMs.set(runnerId, Math.min(sinceMs, knownSinceMs));
    return isNew;
  }

  has(runnerId: string): boolean {
    const sinceMs = this.#knownSinceMs.get(runnerId);
    if (sinceMs === undefined) return false;
    if (monotonicMs() - sinceMs <= RETENTION_MS) return true;
    this.#knownSinceMs.delete(runnerId);
    return false;
  }

  list(): readonly { readonly runnerId: string; readonly ageMs: number }[] {
    const nowMs = monotonicMs();
    return [...this.#knownSinceMs]
      .filter(([runnerId]) => this.has(runnerId))
      .map(([runnerId, sinceMs]) => ({ runnerId, ageMs: nowMs - sinceMs }));
  }
}
