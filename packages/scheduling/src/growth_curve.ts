import { HORIZONS_TOKENS } from "./horizons.js";
import type { LengthDistribution } from "./length_distribution.js";

/**
 * Mean and variance of the memory that streams hold at each horizon, in
 * tokens. A stream counts at a horizon only if it still runs by then.
 */
export class GrowthCurve {
  readonly #mean = new Float64Array(HORIZONS_TOKENS.length);
  readonly #variance = new Float64Array(HORIZONS_TOKENS.length);

  /** Adds `count` like streams of the given context and progress. */
  addStreams(
    distribution: LengthDistribution,
    stream: {
      readonly contextTokens: number;
      readonly producedTokens: number;
      readonly count: number;
    },
  ): void {
    HORIZONS_TOKENS.forEach((horizon, index) => {
      const survival = distribution.survival(stream.producedTokens, horizon);
      const held = stream.contextTokens + horizon;
      const variance = survival * (1 - survival) * held * held;
      this.addAt(index, {
        mean: stream.count * survival * held,
        variance: stream.count * variance,
      });
    });
  }

  /** Adds another curve. */
  addCurve(other: GrowthCurve): void {
    HORIZONS_TOKENS.forEach((_, index) => {
      const mean = other.#mean[index] ?? 0;
      const variance = other.#variance[index] ?? 0;
      this.addAt(index, { mean, variance });
    });
  }

  /** Adds to one horizon, by its index. */
  addAt(
    index: number,
    added: { readonly mean: number; readonly variance: number },
  ): void {
    this.#mean[index] = (this.#mean[index] ?? 0) + added.mean;
    this.#variance[index] = (this.#variance[index] ?? 0) + added.variance;
  }

  /**
   * Largest value, `deviations` above the mean, over the first `horizons`
   * points.
   */
  peakTokens(
    deviations: number,
    horizons: number,
    added?: GrowthCurve,
  ): number {
    let peak = 0;
    for (let index = 0; index < horizons; index += 1) {
      let mean = this.#mean[index] ?? 0;
      let variance = this.#variance[index] ?? 0;
      if (added) {
        mean += added.#mean[index] ?? 0;
        variance += added.#variance[index] ?? 0;
      }
      peak = Math.max(peak, mean + deviations * Math.sqrt(variance));
    }
    return peak;
  }
}
