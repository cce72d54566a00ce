import type { RunnerLoad } from "@jujubeladder/types";
import { GrowthCurve } from "./growth_curve.js";
import type { GrowthProfile } from "./growth_profile.js";
import { PrefixView } from "./prefix_view.js";
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
  /** Prefixes that the runner is thought to have cached; a hint. */
  readonly prefixes = new PrefixView();
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

  get leases(): ReadonlySet<StreamLease> {
    return this.#leases;
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

  /** Streams on the runner: reported ones and own ones not yet reported. */
  runningStreams(): number {
    const reported = this.#load
      ? this.#load.runningStreams + this.#load.waitingStreams
      : 0;
    return reported + this.#countUnreported();
  }

  /** Predicted memory of all streams that run there now. */
  curve(profile: GrowthProfile, nowMs: number): GrowthCurve {
    if (this.#curve && nowMs - this.#curveAtMs < CURVE_MAX_AGE_MS) {
      return this.#curve;
    }
    const curve = new GrowthCurve();
    for (const lease of this.#leases) {
      const { contextTokens, producedTokens } = lease;
      const stream = { contextTokens, producedTokens, count: 1 };
      curve.addStreams(lease.distribution, stream);
    }
    this.#addOthers(curve, profile);
    this.#curve = curve;
    this.#curveAtMs = nowMs;
    return curve;
  }

  // Waiting streams hold no memory now, and will again.
  #addOthers(curve: GrowthCurve, profile: GrowthProfile): void {
    if (!this.#load) return;
    const { usedTokens, runningStreams, waitingStreams } = this.#load;
    const meanTokens = usedTokens / Math.max(1, runningStreams);
    const own = this.#listReported();
    const ownTokens = own.reduce((sum, l) => sum + l.contextTokens, 0);
    const streams = runningStreams + waitingStreams - own.length;
    const tokens = usedTokens + waitingStreams * meanTokens - ownTokens;
    profile.addTo(curve, streams, Math.max(0, tokens));
  }

  #listReported(): readonly StreamLease[] {
    const sinceMs = this.#loadAtMs - REPORT_LAG_MS;
    return [...this.#leases].filter((lease) => lease.startedAtMs <= sinceMs);
  }

  #countUnreported(): number {
    return this.#leases.size - this.#listReported().length;
  }
}
