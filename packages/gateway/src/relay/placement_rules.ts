import type { Metrics } from "@jujubeladder/metrics";
import { monotonicMs } from "@jujubeladder/utils";
import type { ColdRunnerLimiter } from "../decisions/cold_runner_limiter.js";
import { fitsWarmupPace } from "../decisions/fits_warmup_pace.js";
import { isRegionAllowed } from "../decisions/is_region_allowed.js";
import type { RunnerCandidate } from "../decisions/runner_candidate.js";
import type { AllowedRegions } from "../model/allowed_regions.js";
import type { ColdLimit } from "../model/cold_limit.js";
import type { GatewayRunner } from "../model/gateway_runner.js";
import type { RoutedService } from "../model/routed_service.js";
import { toIncarnationId } from "../model/to_incarnation_id.js";
import type { ColdRunners } from "../views/cold_runners.js";
import type { EvacuatedZones } from "../views/evacuated_zones.js";

/**
 * For how long after the news of an evacuation a run that was stopped before
 * may resume there: its copy can't go on anywhere else, and the operator leaves
 * more time than this.
 */
const RESUMPTION_GRACE_MS = 2_000;

/** Recent share of failures from which on an engine counts as recovering. */
const FAILING_SHARE = 0.5;

/** A request, as far as these rules depend on it. */
interface RuledRequest {
  readonly service: RoutedService;
  readonly allowedRegions: AllowedRegions;
}

/**
 * Where the operator lets a request go at all: data residency, evacuated
 * availability zones, and the limit of cold runners. Asked when candidates are
 * listed, and again before a request is written, as all three may change while
 * it waits.
 */
export class PlacementRules {
  readonly #evacuatedZones: EvacuatedZones;
  readonly #coldRunners: ColdRunners;
  readonly #coldLimiter: ColdRunnerLimiter;
  readonly #coldLimit: ColdLimit | undefined;
  readonly #metrics: Metrics;

  constructor(dependencies: {
    readonly evacuatedZones: EvacuatedZones;
    readonly coldRunners: ColdRunners;
    readonly coldLimiter: ColdRunnerLimiter;
    /** Cold runners are not limited without it. */
    readonly coldLimit: ColdLimit | undefined;
    readonly metrics: Metrics;
  }) {
    this.#evacuatedZones = dependencies.evacuatedZones;
    this.#coldRunners = dependencies.coldRunners;
    this.#coldLimiter = dependencies.coldLimiter;
    this.#coldLimit = dependencies.coldLimit;
    this.#metrics = dependencies.metrics;
  }

  /** Why a runner is barred by the operator's word; undefined if it is not. */
  findBar(
    runner: GatewayRunner,
    allowedRegions: AllowedRegions,
  ): "region" | "evacuated" | undefined {
    if (!isRegionAllowed(allowedRegions, runner.region)) return "region";
    return this.#evacuatedZones.has(runner.availabilityZone)
      ? "evacuated"
      : undefined;
  }

  /** False where only the operator can change that the request may not go. */
  isAllowed(runner: GatewayRunner, allowedRegions: AllowedRegions): boolean {
    return this.findBar(runner, allowedRegions) === undefined;
  }

  /** False while a cold runner can take no request of this instance. */
  hasTurn(runner: GatewayRunner, service: RoutedService): boolean {
    const limit = this.#findColdLimit(runner, service);
    return (
      limit === undefined ||
      this.#coldLimiter.mayTake(toIncarnationId(runner), limit, monotonicMs())
    );
  }

  /**
   * False for an engine that warms up, or that has lately failed most requests,
   * and is yet to show that it keeps up with what it has.
   */
  keepsPace(
    { runner, load, failureShare }: RunnerCandidate,
    service: RoutedService,
    promptTokens: number,
  ): boolean {
    const isPaced =
      this.#coldRunners.isWarmingUp(runner, service, load) ||
      (service.coldStart !== undefined &&
        service.engine !== undefined &&
        failureShare >= FAILING_SHARE);
    return !isPaced || fitsWarmupPace(load, promptTokens);
  }

  /**
   * Returns why a request must not be written to the runner now. Without an
   * objection it counts as sent.
   */
  findObjection(
    runner: GatewayRunner,
    { service, allowedRegions }: RuledRequest,
    { isResumption }: { readonly isResumption: boolean },
  ): string | undefined {
    if (!isRegionAllowed(allowedRegions, runner.region))
      return this.#object("residency", "the region is not allowed");
    const evacuatedForMs = this.#evacuatedZones.findAgeMs(
      runner.availabilityZone,
    );
    const graceMs = isResumption ? RESUMPTION_GRACE_MS : 0;
    if (evacuatedForMs !== undefined && evacuatedForMs >= graceMs)
      return this.#object("evacuation", "the zone is evacuated");
    const limit = this.#findColdLimit(runner, service);
    if (limit === undefined) return undefined;
    const incarnationId = toIncarnationId(runner);
    const hasTurn = this.#coldLimiter.take(incarnationId, limit, monotonicMs());
    // A run that has stopped can only go on at its copy.
    if (hasTurn || isResumption) return undefined;
    return this.#object("cold", "the runner is cold");
  }

  #object(rule: "residency" | "evacuation" | "cold", reason: string): string {
    this.#metrics.count(`withheld_${rule}`);
    return reason;
  }

  #findColdLimit(
    runner: GatewayRunner,
    service: RoutedService,
  ): number | undefined {
    const { coldStart } = service;
    if (!this.#coldLimit || !coldStart) return undefined;
    if (!this.#coldRunners.isCold(runner, service)) return undefined;
    const { excess, slack } = this.#coldLimit;
    return coldStart.requestsPerSecond * excess + slack;
  }
}
