import type { Histogram } from "hdr-histogram-js";
import type { Outcome } from "@jujubeladder/types";
import { buildHistogram } from "./build_histogram.js";
import type { CounterName } from "./counter_name.js";
import type { HistogramName } from "./histogram_name.js";

const MICROSECONDS_PER_MS = 1_000;
const MAX_MICROSECONDS = 3_600_000_000;
const PERCENTILES = [50, 95, 99] as const;

/** Histograms and counters of one instance. */
export class Metrics {
  readonly #histograms = new Map<HistogramName, Histogram>();
  readonly #counters = new Map<string, number>();

  /** Records a duration; values above an hour count as one hour. */
  record(name: HistogramName, durationMs: number): void {
    const histogram =
      this.#histograms.get(name) ?? buildHistogram(MAX_MICROSECONDS);
    this.#histograms.set(name, histogram);
    const microseconds = Math.round(durationMs * MICROSECONDS_PER_MS);
    histogram.recordValue(Math.min(MAX_MICROSECONDS, microseconds));
  }

  count(name: CounterName, amount = 1): void {
    this.#add(`jujubeladder_${name}_total`, amount);
  }

  countOutcome(outcome: Outcome): void {
    this.#add(`jujubeladder_outcomes_total{outcome="${outcome}"}`, 1);
  }

  /** Returns all values as a JSON object; durations are in milliseconds. */
  toJson(): Readonly<Record<string, unknown>> {
    const histograms = [...this.#histograms].map(([name, histogram]) => [
      name,
      {
        count: histogram.totalCount,
        meanMs: histogram.mean / MICROSECONDS_PER_MS,
        maxMs: histogram.maxValue / MICROSECONDS_PER_MS,
        ...Object.fromEntries(
          PERCENTILES.map((p) => [`p${p}Ms`, percentileMs(histogram, p)]),
        ),
      },
    ]);
    return {
      histograms: Object.fromEntries(histograms),
      counters: Object.fromEntries(this.#counters),
    };
  }

  /** Returns all values in the Prometheus text format. */
  toPrometheusText(): string {
    const lines = [...this.#counters].map(
      ([name, value]) => `${name} ${value}`,
    );
    for (const [name, histogram] of this.#histograms) {
      const metric = `jujubeladder_${name}`;
      lines.push(`# TYPE ${metric} summary`);
      for (const p of PERCENTILES) {
        const value = percentileMs(histogram, p);
        lines.push(`${metric}{quantile="${p / 100}"} ${value}`);
      }
      lines.push(`${metric}_count ${histogram.totalCount}`);
    }
    return `${lines.join("\n")}\n`;
  }

  #add(name: string, amount: number): void {
    this.#counters.set(name, (this.#counters.get(name) ?? 0) + amount);
  }
}

function percentileMs(histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
}
