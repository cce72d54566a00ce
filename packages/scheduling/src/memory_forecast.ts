import { HORIZONS_TOKENS } from "./horizons.js";
import type { LengthDistribution } from "./length_distribution.js";

/**
 * Mean and variance of the memory that streams use at each horizon, in
 * tokens. A stream is weighted by its probability of still running then.
 */
export class MemoryForecast {
  readonly #mean = new Float64Array(HORIZONS_TOKENS.length);
  readonly #variance = new Float64Array(HORIZONS_TOKENS.length);

  /** Adds `count` identical streams. */
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
      const streamTokens = stream.contextTokens + horizon;
      const variance = survival * (1 - survival) * streamTokens * streamTokens;
      this.addAtHorizon(index, {
        mean: stream.count * survival * streamTokens,
        variance: stream.count * variance,
      });
    });
  }

  /** Adds another forecast. */
  addForecast(other: MemoryForecast): void {
    HORIZONS_TOKENS.forEach((_, index) => {
      const mean = other.#mean[index] ?? 0;
      const variance = other.#variance[index] ?? 0;
      this.addAtHorizon(index, { mean, variance });
    });
  }

  /** Adds to one horizon, given by its index in HORIZONS_TOKENS. */
  addAtHorizon(
    index: number,
    added: { readonly mean: number; readonly variance: number },
  ): void {
    this.#mean[index] = (this.#mean[index] ?? 0) + added.mean;
    this.#variance[index] = (this.#variance[index] ?? 0) + added.variance;
  }

  /**
   * Largest forecast over the first `horizons` horizons, taken at the given
   * number of standard deviations above the mean.
   */
  peakTokens(
    standardDeviations: number,
    horizons: number,
    added?: MemoryForecast,
  ): number {
    let peak = 0;
    for (let index = 0; index < horizons; index += 1) {
      let mean = this.#mean[index] ?? 0;
      let variance = this.#variance[index] ?? 0;
      if (added) {
        mean += added.#mean[index] ?? 0;
        variance += added.#variance[index] ?? 0;
      }
      peak = Math.max(peak, mean + standardDeviations * Math.sqrt(variance));
    }
    return peak;
  }
}
