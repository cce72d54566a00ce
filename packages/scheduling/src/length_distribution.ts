import { buildHistogram } from "@jujubeladder/metrics";

const HIGHEST_TOKENS = 200_000;
const SAMPLES_PER_HISTOGRAM = 400;
const SAMPLES_PER_REFRESH = 16;
const QUANTILE_COUNT = 128;
const DEFAULT_MEAN_TOKENS = 400;

/**
 * Distribution of recent output lengths, in tokens. Two histograms rotate,
 * so that old samples expire. Estimates how likely a stream is to continue.
 */
export class LengthDistribution {
  #current = buildHistogram(HIGHEST_TOKENS);
  #previous = buildHistogram(HIGHEST_TOKENS);
  #quantiles: Float64Array | undefined;
  #sampleCount = 0;

  get sampleCount(): number {
    return this.#sampleCount;
  }

  record(tokens: number): void {
    this.#current.recordValue(Math.min(HIGHEST_TOKENS, Math.max(1, tokens)));
    this.#sampleCount += 1;
    if (this.#current.totalCount >= SAMPLES_PER_HISTOGRAM) {
      this.#previous = this.#current;
      this.#current = buildHistogram(HIGHEST_TOKENS);
    }
    if (this.#sampleCount % SAMPLES_PER_REFRESH === 0) this.#rebuildQuantiles();
  }

  /** Probability that a stream produces `more` tokens beyond `produced`. */
  survival(produced: number, more: number): number {
    const reached = this.#tailProbability(produced);
    return reached === 0 ? 0 : this.#tailProbability(produced + more) / reached;
  }

  /** Mean output length; a default before there are enough samples. */
  get meanTokens(): number {
    const quantiles = this.#quantiles;
    if (!quantiles) return DEFAULT_MEAN_TOKENS;
    return quantiles.reduce((sum, value) => sum + value, 0) / quantiles.length;
  }

  // Share of lengths above a value. The tail is assumed to be exponential
  // beyond the longest quantile and before the first quantiles are built.
  #tailProbability(tokens: number): number {
    const quantiles = this.#quantiles;
    if (!quantiles) return Math.exp(-tokens / DEFAULT_MEAN_TOKENS);
    const longest = quantiles[QUANTILE_COUNT - 1] ?? DEFAULT_MEAN_TOKENS;
    const above = QUANTILE_COUNT - countAtMost(quantiles, tokens);
    const floor = 0.5 * Math.exp(-Math.max(0, tokens / longest - 1));
    return Math.max(above, floor) / QUANTILE_COUNT;
  }

  #rebuildQuantiles(): void {
    const merged = buildHistogram(HIGHEST_TOKENS);
    merged.add(this.#current);
    merged.add(this.#previous);
    const quantiles = new Float64Array(QUANTILE_COUNT);
    for (let index = 0; index < QUANTILE_COUNT; index += 1) {
      const percentile = (100 * (index + 0.5)) / QUANTILE_COUNT;
      quantiles[index] = merged.getValueAtPercentile(percentile);
    }
    this.#quantiles = quantiles;
  }
}

function countAtMost(quantiles: Float64Array, value: number): number {
  let low = 0;
  let high = quantiles.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((quantiles[middle] ?? 0) <= value) low = middle + 1;
    else high = middle;
  }
  return low;
}
