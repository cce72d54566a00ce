import type { Policy } from "./policy.js";

const NOOP_LEASE = { progress: () => undefined, release: () => undefined };

/** Baseline: dispatches each request immediately to the next runner. */
export class RoundRobinPolicy implements Policy {
  #runnerIds: readonly string[] = [];
  #next: number;

  constructor(firstIndex: number) {
    this.#next = firstIndex;
  }

  submit(
    _arrival: Parameters<Policy["submit"]>[0],
    onDecision: Parameters<Policy["submit"]>[1],
  ): void {
    const runnerId = this.#runnerIds[this.#next % this.#runnerIds.length];
    this.#next += 1;
    if (runnerId === undefined) onDecision({ type: "refused" });
    else onDecision({ type: "placed", runnerId, lease: NOOP_LEASE });
  }

  updateLoad(): void {
    // Round robin ignores load.
  }

  setUsableRunners(runnerIds: readonly string[]): void {
    this.#runnerIds = runnerIds;
  }

  recordCompletion(): void {
    // No state depends on completed requests.
  }

  dispatchQueued(): void {
    // Requests are never queued.
  }
}
