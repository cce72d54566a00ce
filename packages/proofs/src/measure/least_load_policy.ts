import type { RunnerLoad } from "@jujubeladder/types";
import type { Policy } from "./policy.js";

const NO_HOLD = { progress: () => undefined, release: () => undefined };

/** Baseline: each request goes to the least reported memory use at once. */
export class LeastLoadPolicy implements Policy {
  readonly #loads = new Map<string, RunnerLoad>();
  readonly #random: () => number;
  #runnerIds: readonly string[] = [];

  constructor(random: () => number) {
    this.#random = random;
  }

  submit(
    _arrival: Parameters<Policy["submit"]>[0],
    answer: Parameters<Policy["submit"]>[1],
  ): void {
    let best: { readonly runnerId: string; readonly load: number } | undefined;
    for (const runnerId of this.#runnerIds) {
      const load = this.#measure(runnerId);
      if (!best || load < best.load) best = { runnerId, load };
    }
    if (!best) answer({ type: "refused" });
    else answer({ type: "placed", runnerId: best.runnerId, hold: NO_HOLD });
  }

  updateLoad(load: RunnerLoad): void {
    this.#loads.set(load.runnerId, load);
  }

  setUsable(runnerIds: readonly string[]): void {
    this.#runnerIds = runnerIds;
  }

  noteFinished(): void {
    // The baseline learns nothing.
  }

  pump(): void {
    // Nothing ever waits.
  }

  // A random part below one token breaks ties.
  #measure(runnerId: string): number {
    const load = this.#loads.get(runnerId);
    const waiting = (load?.waitingStreams ?? 0) * (load?.capacityTokens ?? 0);
    return (load?.usedTokens ?? 0) + waiting + this.#random();
  }
}
