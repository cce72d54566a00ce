import { build, type Histogram } from "hdr-histogram-js";

const HIGHEST_TOKENS = 200_000;
const SAMPLES_PER_GENERATION = 400;
const SAMPLES_PER_REFRESH = 16;
const TABLE_POINTS = 128;
const DEFAULT_MEAN_TOKENS = 400;

/**
 * Output lengths seen, newer ones first: two histograms take turns, so that
 * old samples fade. Answers how likely a stream goes on.
 */
export class LengthDistribution {
  #current = buildHistogram();
  #previous = buildHistogram();
  #quantiles: Float64Array | undefined;
  #sampleCount = 0;

  get sampleCount(): number {
    return this.#sampleCount;
  }

  record(tokens: number): void {
    this.#current.recordValue(Math.min(HIGHEST_TOKENS, Math.max(1, tokens)));
    this.#sampleCount += 1;
    if (this.#current.totalCount >= SAMPLES_PER_GENERATION) {
      this.#previous = this.#current;
      this.#current = buildHistogram();
    }
    if (this.#sampleCount % SAMPLES_PER_REFRESH === 0) this.#refresh();
  }

  /** Probability that a stream produces `more` tokens beyond `produced`. */
  survival(produced: number, more: number): number {
    const reached = this.#tail(produced);
    return reached === 0 ? 0 : this.#tail(produced + more) / reached;
  }

  /** Mean length in tokens. */
  get meanTokens(): number {
    const table = this.#quantiles;
    if (!table) return DEFAULT_MEAN_TOKENS;
    return table.reduce((sum, value) => sum + value, 0) / table.length;
  }

  // Share of lengths above a value. Past the longest seen, and before any
  // is seen, the tail is taken as exponential.
  #tail(tokens: number): number {
    const table = this.#quantiles;
    if (!table) return Math.exp(-tokens / DEFAULT_MEAN_TOKENS);
    const longest = table[TABLE_POINTS - 1] ?? DEFAULT_MEAN_TOKENS;
    const above = TABLE_POINTS - countAtMost(table, tokens);
    const floor = 0.5 * Math.exp(-Math.max(0, tokens / longest - 1));
    return Math.max(above, floor) / TABLE_POINTS;
  }

  #refresh(): void {
    const merged = buildHistogram();
    merged.add(this.#current);
    merged.add(this.#previous);
    const table = new Float64Array(TABLE_POINTS);
    for (let index = 0; index < TABLE_POINTS; index += 1) {
      const percentile = (100 * (index + 0.5)) / TABLE_POINTS;
      table[index] = merged.getValueAtPercentile(percentile);
    }
    this.#quantiles = table;
  }
}

function buildHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: HIGHEST_TOKENS,
    numberOfSignificantValueDigits: 2,
    useWebAssembly: false,
    bitBucketSize: 32,
  });
}

function countAtMost(table: Float64Array, value: number): number {
  let low = 0;
  let high = table.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((table[middle] ?? 0) <= value) low = middle + 1;
    else high = middle;
  }
  return low;
}
