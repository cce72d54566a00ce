import type { ObjectiveWeights } from "@jujubeladder/types";
import { MemoryForecast } from "./memory_forecast.js";
import type { SurvivalProfile } from "./survival_profile.js";
import { HORIZONS_TOKENS } from "./horizons.js";
import type { LengthDistribution } from "./length_distribution.js";
import type { PlacementDecision } from "./placement_decision.js";
import type { RunnerState } from "./runner_state.js";
import type { SchedulingRequest } from "./scheduling_request.js";

const PREFIX_BONUS = 0.05;
const SCORE_JITTER = 0.1;
const REFERENCE_STREAMS = 32;
const MAX_CANDIDATES = 4;
const TURN_REQUIRED_SHARE = 0.4;
const NEGLIGIBLE_SURVIVAL = 0.02;
const RISK_STEEPNESS = 6;

/** Inputs of a placement other than the request and the runners. */
interface PlacementContext {
  readonly nowMs: number;
  readonly region: string;
  readonly objective: ObjectiveWeights;
  readonly distribution: LengthDistribution;
  readonly profile: SurvivalProfile;
  /** Safety margin above the mean forecast. */
  readonly standardDeviations: number;
  /**
   * Memory that peers are estimated to have added to each runner and that load
   * reports may not include yet.
   */
  readonly unreportedPeerForecast: MemoryForecast;
  readonly unreportedPeerStreams: number;
  readonly random: () => number;
  /**
   * True while this instance may place long requests on a runner whose
   * predicted peak exceeds TURN_REQUIRED_SHARE.
   */
  readonly isOwnTurn: (runnerId: string) => boolean;
}

/**
 * Chooses the lowest-scored runner among those predicted to have enough memory
 * for the request at the configured quantile; a runner without streams always
 * counts as such. If there is none, the request is held in the queue.
 */
export function choosePlacement(
  request: SchedulingRequest,
  runners: readonly RunnerState[],
  context: PlacementContext,
): PlacementDecision {
  const added = new MemoryForecast();
  const { promptTokens } = request;
  const stream = { contextTokens: promptTokens, producedTokens: 0, count: 1 };
  added.addStreams(context.distribution, stream);
  added.addForecast(context.unreportedPeerForecast);
  const horizons = countRelevantHorizons(context.distribution);
  const eligible = runners.filter((runner) => isEligible(request, runner));
  let best: (PlacementDecision & { type: "placed" }) | undefined;
  let candidates = 0;
  // Scores a random sample of runners: instances that all picked the best
  // runner from the same load reports would overload it.
  for (const runner of shuffle(eligible, context.random)) {
    if (candidates >= MAX_CANDIDATES) break;
    const load = runner.load;
    if (!load) continue;
    const forecast = runner.forecast(context.profile, context.nowMs);
    const peak = forecast.peakTokens(
      context.standardDeviations,
      horizons,
      added,
    );
    const predictedPeakShare = peak / load.capacityTokens;
    const knownStreams = runner.runningStreams();
    const isEmpty = knownStreams === 0;
    const isBacklogged = load.waitingStreams > 0 && !request.isShort;
    const isOverloaded = predictedPeakShare > 1 || isBacklogged;
    if (isOverloaded && !isEmpty) continue;
    const needsTurn =
      predictedPeakShare > TURN_REQUIRED_SHARE && !request.isShort;
    if (needsTurn && !context.isOwnTurn(runner.runnerId)) continue;
    candidates += 1;
    const isPrefixHit = runner.prefixes.has(request.prefixKey);
    const isSameRegion = runner.region === context.region;
    const runningStreams = knownStreams + context.unreportedPeerStreams;
    const { objective } = context;
    const score =
      objective.preemptions * preemptionRisk(predictedPeakShare) +
      objective.tailLatency * (runningStreams / REFERENCE_STREAMS) +
      objective.stallTime * (load.waitingStreams / REFERENCE_STREAMS) +
      objective.crossRegionTraffic * (isSameRegion ? 0 : 1) -
      (isPrefixHit ? PREFIX_BONUS : 0) +
      SCORE_JITTER * context.random();
    if (best && best.figures.score <= score) continue;
    const reportAgeMs = runner.reportAgeMs(context.nowMs);
    best = {
      type: "placed",
      runnerId: runner.runnerId,
      candidates: 0,
      figures: {
        score,
        predictedPeakShare,
        runningStreams,
        isPrefixHit,
        isSameRegion,
        reportAgeMs,
      },
    };
  }
  if (best) return { ...best, candidates };
  // Held even with no eligible runner: one may recover or be listed while the
  // request waits.
  const reason =
    eligible.length === 0
      ? "no runner is left to try"
      : "no runner has memory for it";
  return { type: "held", reason };
}

// Counts the horizons before the one at which the request has almost certainly
// ended. A memory shortage after its end does not affect it.
function countRelevantHorizons(distribution: LengthDistribution): number {
  const isOver = (horizon: number) =>
    distribution.survival(0, horizon) < NEGLIGIBLE_SURVIVAL;
  const index = HORIZONS_TOKENS.findIndex(isOver);
  return index === -1 ? HORIZONS_TOKENS.length : index;
}

function shuffle(
  runners: readonly RunnerState[],
  random: () => number,
): readonly RunnerState[] {
  return runners
    .map((runner) => ({ runner, key: random() }))
    .sort((a, b) => a.key - b.key)
    .map((entry) => entry.runner);
}

// Exponential, so that the other objectives dominate the score until memory
// is nearly full.
function preemptionRisk(predictedPeakShare: number): number {
  return Math.exp(RISK_STEEPNESS * (predictedPeakShare - 1));
}

function isEligible(request: SchedulingRequest, runner: RunnerState): boolean {
  if (request.excludedRunnerIds.has(runner.runnerId)) return false;
  return request.allowedRunnerIds?.has(runner.runnerId) ?? true;
}
