import { monotonicMs } from "@jujubeladder/utils";

/** Weight of the newest outcome in the moving average. */
const NEWEST_WEIGHT = 0.25;
/** Half-life of a score, so that a runner is used again after a while. */
const HALF_LIFE_MS = 2_000;

interface Score {
  readonly share: number;
  readonly atMs: number;
}

/**
 * Recent share of failures of each runner, from this instance's own attempts.
 * It is only a weight in placement and never ejects a runner, so that a fault
 * in this instance's own network can't leave it without runners.
 */
export class OutlierScores {
  readonly #scores = new Map<string, Score>();

  record(runnerId: string, isFailure: boolean): void {
    const share =
      this.getFailureShare(runnerId) * (1 - NEWEST_WEIGHT) +
      (isFailure ? NEWEST_WEIGHT : 0);
    this.#scores.set(runnerId, { share, atMs: monotonicMs() });
  }

  /** Share of a runner's failures at `nowMs`, which is the present. */
  getFailureShare(runnerId: string, nowMs = monotonicMs()): number {
    const score = this.#scores.get(runnerId);
    if (!score || score.share === 0) return 0;
    const ageMs = nowMs - score.atMs;
    return score.share * 2 ** (-ageMs / HALF_LIFE_MS);
  }
}
