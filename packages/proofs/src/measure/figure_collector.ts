import { build, type Histogram } from "hdr-histogram-js";
import type { Arrival } from "./arrival.js";
import type { PolicyFigures } from "./policy_figures.js";
import type { StreamRecord } from "./stream_record.js";

const STALL_MS = 500;
const MICROSECONDS_PER_MS = 1_000;

/** Collects what callers would have seen. */
export class FigureCollector {
  readonly #gaps = newHistogram();
  readonly #firstTokens = newHistogram();
  readonly #shortFirstTokens = newHistogram();
  readonly #stalls = newHistogram();
  readonly #asked = new Map<string, number>();
  readonly #completed = new Map<string, number>();
  #requests = 0;
  #stallTotalMs = 0;
  #completedWeighted = 0;
  #lost = 0;
  #refusals = 0;
  #placed = 0;
  #crossRegion = 0;

  noteArrival(arrival: Arrival): void {
    this.#requests += 1;
    add(this.#asked, arrival.teamId);
  }

  notePlaced(isSameRegion: boolean): void {
    this.#placed += 1;
    if (!isSameRegion) this.#crossRegion += 1;
  }

  noteRefusal(): void {
    this.#refusals += 1;
  }

  noteToken(stream: StreamRecord, atMs: number): void {
    const { lastTokenAtMs, arrival } = stream;
    if (lastTokenAtMs === undefined) {
      record(this.#firstTokens, atMs - arrival.atMs);
      if (arrival.isShort) record(this.#shortFirstTokens, atMs - arrival.atMs);
    } else {
      const gapMs = atMs - lastTokenAtMs;
      record(this.#gaps, gapMs);
      if (gapMs > STALL_MS) stream.stallMs += gapMs - STALL_MS;
    }
    stream.lastTokenAtMs = atMs;
    stream.producedTokens += 1;
  }

  noteFinished(stream: StreamRecord): void {
    this.#completedWeighted += stream.arrival.weight;
    add(this.#completed, stream.arrival.teamId);
    this.#noteStall(stream);
  }

  noteLost(stream: StreamRecord): void {
    this.#lost += 1;
    this.#noteStall(stream);
  }

  toFigures(preemptions: number): PolicyFigures {
    const shares = [...this.#asked].map(
      ([teamId, asked]) => (this.#completed.get(teamId) ?? 0) / asked,
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

  #noteStall(stream: StreamRecord): void {
    this.#stallTotalMs += stream.stallMs;
    record(this.#stalls, stream.stallMs);
  }
}

function newHistogram(): Histogram {
  return build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: 3_600_000_000,
    numberOfSignificantValueDigits: 3,
    useWebAssembly: false,
  });
}

function record(histogram: Histogram, durationMs: number): void {
  histogram.recordValue(Math.round(durationMs * MICROSECONDS_PER_MS));
}

function percentile(histogram: Histogram, percent: number): number {
  return histogram.getValueAtPercentile(percent) / MICROSECONDS_PER_MS;
}

function add(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}
