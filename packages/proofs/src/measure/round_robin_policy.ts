import type { Policy } from "./policy.js";

const NO_HOLD = { progress: () => undefined, release: () => undefined };

/** Baseline: each request goes to the next runner at once. */
export class RoundRobinPolicy implements Policy {
  #runnerIds: readonly string[] = [];
  #next: number;

  constructor(firstIndex: number) {
    this.#next = firstIndex;
  }

  submit(
    _arrival: Parameters<Policy["submit"]>[0],
    answer: Parameters<Policy["submit"]>[1],
  ): void {
    const runnerId = this.#runnerIds[this.#next % this.#runnerIds.length];
    this.#next += 1;
    if (runnerId === undefined) answer({ type: "refused" });
    else answer({ type: "placed", runnerId, hold: NO_HOLD });
  }

  updateLoad(): void {
    // Round robin does not look at load.
  }

  setUsable(runnerIds: readonly string[]): void {
    this.#runnerIds = runnerIds;
  }

  noteFinished(): void {
    // Round robin learns nothing.
  }

  pump(): void {
    // Nothing ever waits.
  }
}
