import type { RunnerLoad } from "@jujubeladder/types";
import { MemoryForecast } from "./memory_forecast.js";
import type { SurvivalProfile } from "./survival_profile.js";
import { PrefixView } from "./prefix_view.js";
import type { StreamLease } from "./stream_lease.js";

// Delay until a started stream appears in load reports.
const REPORT_LAG_MS = 500;
const FORECAST_MAX_AGE_MS = 200;

/**
 * An instance's view of one runner: the last load report, corrected by the
 * instance's own streams on the runner.
 */
export class RunnerState {
  readonly runnerId: string;
  readonly region: string;
  readonly #leases = new Set<StreamLease>();
  /** Prefixes probably cached by the runner; a hint only. */
  readonly prefixes = new PrefixView();
  #load: RunnerLoad | undefined;
  #loadAtMs = Number.NEGATIVE_INFINITY;
  #forecast: MemoryForecast | undefined;
  #forecastAtMs = 0;

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
    this.#forecast = undefined;
  }

  addLease(lease: StreamLease): void {
    this.#leases.add(lease);
    this.#forecast = undefined;
  }

  removeLease(lease: StreamLease): void {
    this.#leases.delete(lease);
    this.#forecast = undefined;
  }

  /** Reported streams plus own streams that are not in the report yet. */
  runningStreams(): number {
    const reported = this.#load
      ? this.#load.runningStreams + this.#load.waitingStreams
      : 0;
    return reported + this.#countUnreportedLeases();
  }

  /** Memory forecast of all streams on the runner, cached briefly. */
  forecast(profile: SurvivalProfile, nowMs: number): MemoryForecast {
    if (this.#forecast && nowMs - this.#forecastAtMs < FORECAST_MAX_AGE_MS) {
      return this.#forecast;
    }
    const forecast = new MemoryForecast();
    for (const lease of this.#leases) {
      const { contextTokens, producedTokens } = lease;
      const stream = { contextTokens, producedTokens, count: 1 };
      forecast.addStreams(lease.distribution, stream);
    }
    this.#addPeerStreams(forecast, profile);
    this.#forecast = forecast;
    this.#forecastAtMs = nowMs;
    return forecast;
  }

  // Adds reported streams of other instances. Waiting streams use no memory
  // now but will once resumed, so they count with the mean of running streams.
  #addPeerStreams(forecast: MemoryForecast, profile: SurvivalProfile): void {
    if (!this.#load) return;
    const { usedTokens, runningStreams, waitingStreams } = this.#load;
    const meanTokens = usedTokens / Math.max(1, runningStreams);
    const ownLeases = this.#listReportedLeases();
    const ownTokens = ownLeases.reduce(
      (sum, lease) => sum + lease.contextTokens,
      0,
    );
    const streams = runningStreams + waitingStreams - ownLeases.length;
    const tokens = usedTokens + waitingStreams * meanTokens - ownTokens;
    profile.addStreamsTo(forecast, streams, Math.max(0, tokens));
  }

  #listReportedLeases(): readonly StreamLease[] {
    const sinceMs = this.#loadAtMs - REPORT_LAG_MS;
    return [...this.#leases].filter((lease) => lease.startedAtMs <= sinceMs);
  }

  #countUnreportedLeases(): number {
    return this.#leases.size - this.#listReportedLeases().length;
  }
}
