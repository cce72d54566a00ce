import { build, type Histogram } from "hdr-histogram-js";
import type { Arrival } from "./arrival.js";
import type { PolicyMetrics } from "./policy_metrics.js";
import type { StreamRecord } from "./stream_record.js";

const STALL_THRESHOLD_MS = 500;
const US_PER_MS = 1_000;

/** Collects latency, completion and fairness metrics as callers see them. */
export class MetricsCollector {
  readonly #gaps = createHistogram();
  readonly #firstTokens = createHistogram();
  readonly #shortFirstTokens = createHistogram();
  readonly #stalls = createHistogram();
  readonly #requestsByTeam = new Map<string, number>();
  readonly #completedByTeam = new Map<string, number>();
  #requests = 0;
  #stallTotalMs = 0;
  #completedWeighted = 0;
  #lost = 0;
  #refusals = 0;
  #placed = 0;
  #crossRegion = 0;

  recordArrival(arrival: Arrival): void {
    this.#requests += 1;
    increment(this.#requestsByTeam, arrival.teamId);
  }

  recordPlacement(isSameRegion: boolean): void {
    this.#placed += 1;
    if (!isSameRegion) this.#crossRegion += 1;
  }

  recordRefusal(): void {
    this.#refusals += 1;
  }

  recordToken(stream: StreamRecord, atMs: number): void {
    const { lastTokenAtMs, arrival } = stream;
    if (lastTokenAtMs === undefined) {
      recordDuration(this.#firstTokens, atMs - arrival.atMs);
      if (arrival.isShort)
        recordDuration(this.#shortFirstTokens, atMs - arrival.atMs);
    } else {
      const gapMs = atMs - lastTokenAtMs;
      recordDuration(this.#gaps, gapMs);
      if (gapMs > STALL_THRESHOLD_MS)
        stream.stallMs += gapMs - STALL_THRESHOLD_MS;
    }
    stream.lastTokenAtMs = atMs;
    stream.producedTokens += 1;
  }

  recordCompletion(stream: StreamRecord): void {
    this.#completedWeighted += stream.arrival.weight;
    increment(this.#completedByTeam, stream.arrival.teamId);
    this.#recordStall(stream);
  }

  recordLoss(stream: StreamRecord): void {
    this.#lost += 1;
    this.#recordStall(stream);
  }

  toMetrics(preemptions: number): PolicyMetrics {
    const shares = [...this.#requestsByTeam].map(
      ([teamId, requested]) =>
        (this.#completedByTeam.get(teamId) ?? 0) / requested,
    );
    return {
      requests: this.#requests,
      stallTotalMs: this.#stallTotalMs,
      stallP99Ms: percentile(this.#stalls, 99),
      preemptionsPerThousand: (1_000 * preemptions) / this.#requests,
      gapP50Ms: percentile(this.#gaps, 50),
      gapP95Ms: percentile(this.#gaps, 95),
      gapP99Ms: percentile(this.#gaps, 99),
      firstTokenP50Ms: percentile(this.#firstTokens, 50),
      firstTokenP99Ms: percentile(this.#firstTokens, 99),
      shortFirstTokenP99Ms: percentile(this.#shortFirstTokens, 99),
      completedWeighted: this.#completedWeighted,
      lost: this.#lost,
      refusals: this.#refusals,
      worstTeamShare: Math.min(...shares),
      crossRegionShare: this.#crossRegion / Math.max(1, this.#placed),
    };
  }

  #recordStall(stream: StreamRecord): void {
    this.#stallTotalMs += stream.stallMs;
    recordDuration(this.#stalls, stream.stallMs);
  }
}

function createHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 3_600_000_000,
    numberOfSignificantValueDigits: 3,
    useWebAssembly: false,
  });
}

function recordDuration(histogram: Histogram, durationMs: number): void {
  histogram.recordValue(Math.round(durationMs * US_PER_MS));
}

function percentile(histogram: Histogram, percent: number): number {
  return histogram.getValueAtPercentile(percent) / US_PER_MS;
}

function increment(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}
