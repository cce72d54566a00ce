import type { RunnerLoad } from "@jujubeladder/types";
import type { Policy } from "./policy.js";

const NOOP_LEASE = { progress: () => undefined, release: () => undefined };

/**
 * Baseline: dispatches each request immediately to the runner with the least
 * reported memory use.
 */
export class LeastLoadPolicy implements Policy {
  readonly #loads = new Map<string, RunnerLoad>();
  readonly #random: () => number;
  #runnerIds: readonly string[] = [];

  constructor(random: () => number) {
    this.#random = random;
  }

  submit(
    _arrival: Parameters<Policy["submit"]>[0],
    onDecision: Parameters<Policy["submit"]>[1],
  ): void {
    let best: { readonly runnerId: string; readonly load: number } | undefined;
    for (const runnerId of this.#runnerIds) {
      const load = this.#estimateTokens(runnerId);
      if (!best || load < best.load) best = { runnerId, load };
    }
    if (!best) onDecision({ type: "refused" });
    else
      onDecision({
        type: "placed",
        runnerId: best.runnerId,
        lease: NOOP_LEASE,
      });
  }

  updateLoad(load: RunnerLoad): void {
    this.#loads.set(load.runnerId, load);
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

  // Each waiting stream counts as a full cache. A random fraction of a token
  // breaks ties.
  #estimateTokens(runnerId: string): number {
    const load = this.#loads.get(runnerId);
    const waiting = (load?.waitingStreams ?? 0) * (load?.capacityTokens ?? 0);
    return (load?.usedTokens ?? 0) + waiting + this.#random();
  }
}
