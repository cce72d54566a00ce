import type { RunnerLoad } from "@jujubeladder/types";
import { GrowthCurve } from "./growth_curve.js";
import type { LengthDistribution } from "./length_distribution.js";
import type { StreamLease } from "./stream_lease.js";

const REPORT_LAG_MS = 500;
const CURVE_MAX_AGE_MS = 200;

/**
 * What one instance knows of a runner: its last load report, corrected by
 * the streams that this instance has there itself.
 */
export class RunnerBook {
  readonly runnerId: string;
  readonly region: string;
  readonly #leases = new Set<StreamLease>();
  readonly #prefixes = new Set<string>();
  #load: RunnerLoad | undefined;
  #loadAtMs = Number.NEGATIVE_INFINITY;
  #curve: GrowthCurve | undefined;
  #curveAtMs = 0;

  constructor(runnerId: string, region: string) {
    this.runnerId = runnerId;
    this.region = region;
  }

  get load(): RunnerLoad | undefined {
    return this.#load;
  }

  get leaseCount(): number {
    return this.#leases.size;
  }

  reportAgeMs(nowMs: number): number {
    return nowMs - this.#loadAtMs;
  }

  updateLoad(load: RunnerLoad, nowMs: number): void {
    this.#load = load;
    this.#loadAtMs = nowMs;
    this.#curve = undefined;
  }

  addLease(lease: StreamLease): void {
    this.#leases.add(lease);
    this.#curve = undefined;
  }

  removeLease(lease: StreamLease): void {
    this.#leases.delete(lease);
    this.#curve = undefined;
  }

  /** Replaces the prefixes that the runner is thought to have cached. */
  notePrefix(prefixKey: string, isCached: boolean): void {
    if (isCached) this.#prefixes.add(prefixKey);
    else this.#prefixes.delete(prefixKey);
  }

  hasPrefix(prefixKey: string): boolean {
    return this.#prefixes.has(prefixKey);
  }

  /** Streams on the runner: reported ones and own ones not yet reported. */
  runningStreams(): number {
    const reported = this.#load
      ? this.#load.runningStreams + this.#load.waitingStreams
      : 0;
    return Math.max(reported, 0) + this.#countUnreported();
  }

  /** Predicted memory of all streams that run there now. */
  curve(fallback: LengthDistribution, nowMs: number): GrowthCurve {
    if (this.#curve && nowMs - this.#curveAtMs < CURVE_MAX_AGE_MS) {
      return this.#curve;
    }
    const curve = new GrowthCurve();
    for (const lease of this.#leases) {
      const { contextTokens, producedTokens } = lease;
      const stream = { contextTokens, producedTokens, count: 1 };
      curve.addStreams(lease.distribution, stream);
    }
    this.#addOthers(curve, fallback);
    this.#curve = curve;
    this.#curveAtMs = nowMs;
    return curve;
  }

  // Streams of other instances are known only as a count and a total.
  #addOthers(curve: GrowthCurve, fallback: LengthDistribution): void {
    if (!this.#load) return;
    const reportedOwn = this.#listReported();
    const total = this.#load.runningStreams + this.#load.waitingStreams;
    const count = total - reportedOwn.length;
    if (count <= 0) return;
    const ownTokens = reportedOwn.reduce((sum, l) => sum + l.contextTokens, 0);
    const tokens = Math.max(0, this.#load.usedTokens - ownTokens);
    const contextTokens = tokens / count;
    const producedTokens = contextTokens / 2;
    curve.addStreams(fallback, { contextTokens, producedTokens, count });
  }

  #listReported(): readonly StreamLease[] {
    const sinceMs = this.#loadAtMs - REPORT_LAG_MS;
    return [...this.#leases].filter((lease) => lease.startedAtMs <= sinceMs);
  }

  #countUnreported(): number {
    return this.#leases.size - this.#listReported().length;
  }
}
