import type { RunnerLoad } from "../model/runner_load.js";

interface Sum {
  requests: number;
  peakTokens: number;
  unreadTokens: number;
  reportCount: number;
}

/**
 * Sum of the loads that peers report, by runner; of a region's, as a rule. Reports hold whole
 * numbers, so that subtracting one leaves the exact sum of the others.
 */
export class RegionLoads<Key = string> {
  readonly #byRunner = new Map<Key, Sum>();
  #reportCount = 0;
  /** By how much the sum is scaled for the peers that have not reported. */
  factor = 1;

  get reportCount(): number {
    return this.#reportCount;
  }

  find(runnerId: Key): RunnerLoad | undefined {
    return this.#byRunner.get(runnerId);
  }

  entries(): Iterable<readonly [Key, RunnerLoad]> {
    return this.#byRunner.entries();
  }

  add(report: ReadonlyMap<Key, RunnerLoad>): void {
    this.#reportCount += 1;
    for (const [runnerId, load] of report) {
      const sum = this.#byRunner.get(runnerId);
      if (sum) {
        sum.requests += load.requests;
        sum.peakTokens += load.peakTokens;
        sum.unreadTokens += load.unreadTokens;
        sum.reportCount += 1;
      } else {
        const { requests, peakTokens, unreadTokens } = load;
        const first = { requests, peakTokens, unreadTokens, reportCount: 1 };
        this.#byRunner.set(runnerId, first);
      }
    }
  }

  /** Subtracts a report that was added. */
  subtract(report: ReadonlyMap<Key, RunnerLoad>): void {
    this.#reportCount -= 1;
    for (const [runnerId, load] of report) {
      const sum = this.#byRunner.get(runnerId);
      if (!sum) continue;
      sum.requests -= load.requests;
      sum.peakTokens -= load.peakTokens;
      sum.unreadTokens -= load.unreadTokens;
      sum.reportCount -= 1;
      if (sum.reportCount === 0) this.#byRunner.delete(runnerId);
    }
  }
}
