import type { ObjectiveWeights } from "@jujubeladder/types";
import { GrowthCurve } from "./growth_curve.js";
import type { GrowthProfile } from "./growth_profile.js";
import { HORIZONS_TOKENS } from "./horizons.js";
import type { LengthDistribution } from "./length_distribution.js";
import type { PlacementDecision } from "./placement_decision.js";
import type { RunnerBook } from "./runner_book.js";
import type { SchedulingRequest } from "./scheduling_request.js";

const PREFIX_BONUS = 0.05;
const NOISE = 0.1;
const STREAMS_SCALE = 32;
const MAX_CANDIDATES = 4;
const TIGHT_SHARE = 0.4;
const NEGLIGIBLE_SURVIVAL = 0.02;
const RISK_STEEPNESS = 6;

/** What a placement weighs besides the request and the runners. */
interface PlacementContext {
  readonly nowMs: number;
  readonly region: string;
  readonly objective: ObjectiveWeights;
  readonly distribution: LengthDistribution;
  readonly profile: GrowthProfile;
  readonly deviations: number;
  /** What peers are thought to have added to each runner since. */
  readonly unseen: GrowthCurve;
  readonly unseenStreams: number;
  readonly random: () => number;
  /** True while this instance may fill a nearly full runner. */
  readonly isOwnTurn: (runnerId: string) => boolean;
}

/**
 * Chooses the runner with the lowest score among those whose memory holds
 * the request at the configured quantile; holds the request otherwise.
 */
export function choosePlacement(
  request: SchedulingRequest,
  runners: readonly RunnerBook[],
  context: PlacementContext,
): PlacementDecision {
  const added = new GrowthCurve();
  const { promptTokens } = request;
  const stream = { contextTokens: promptTokens, producedTokens: 0, count: 1 };
  added.addStreams(context.distribution, stream);
  added.addCurve(context.unseen);
  const horizons = countHorizons(context.distribution);
  const allowed = runners.filter((runner) => isAllowed(request, runner));
  let best: (PlacementDecision & { type: "placed" }) | undefined;
  let candidates = 0;
  // A few at random first: instances that all take the best of the same
  // reports would all take the same runner.
  for (const runner of shuffle(allowed, context.random)) {
    if (candidates >= MAX_CANDIDATES) break;
    const load = runner.load;
    if (!load) continue;
    const curve = runner.curve(context.profile, context.nowMs);
    const peak = curve.peakTokens(context.deviations, horizons, added);
    const predictedPeakShare = peak / load.capacityTokens;
    const knownStreams = runner.runningStreams();
    const isEmpty = knownStreams === 0;
    const isBehind = load.waitingStreams > 0 && !request.isShort;
    const isOverfull = predictedPeakShare > 1 || isBehind;
    if (isOverfull && !isEmpty) continue;
    const isTight = predictedPeakShare > TIGHT_SHARE && !request.isShort;
    if (isTight && !context.isOwnTurn(runner.runnerId)) continue;
    candidates += 1;
    const isPrefixHit = runner.prefixes.has(request.prefixKey);
    const isSameRegion = runner.region === context.region;
    const runningStreams = knownStreams + context.unseenStreams;
    const { objective } = context;
    const score =
      objective.preemptions * toRisk(predictedPeakShare) +
      objective.tailLatency * (runningStreams / STREAMS_SCALE) +
      objective.stallTime * (load.waitingStreams / STREAMS_SCALE) +
      objective.crossRegionTraffic * (isSameRegion ? 0 : 1) -
      (isPrefixHit ? PREFIX_BONUS : 0) +
      NOISE * context.random();
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
  // A runner may come back, or be listed, while the request waits.
  const reason =
    allowed.length === 0
      ? "no runner is left to try"
      : "no runner has memory for it";
  return { type: "held", reason };
}

// Memory that runs out after a request has ended does not concern it.
function countHorizons(distribution: LengthDistribution): number {
  const isOver = (horizon: number) =>
    distribution.survival(0, horizon) < NEGLIGIBLE_SURVIVAL;
  const index = HORIZONS_TOKENS.findIndex(isOver);
  return index === -1 ? HORIZONS_TOKENS.length : index;
}

function shuffle(
  runners: readonly RunnerBook[],
  random: () => number,
): readonly RunnerBook[] {
  return runners
    .map((runner) => ({ runner, key: random() }))
    .sort((a, b) => a.key - b.key)
    .map((entry) => entry.runner);
}

// Low until memory is nearly full, so that cheaper reasons decide before.
function toRisk(predictedPeakShare: number): number {
  return Math.exp(RISK_STEEPNESS * (predictedPeakShare - 1));
}

function isAllowed(request: SchedulingRequest, runner: RunnerBook): boolean {
  if (request.excludedRunnerIds.has(runner.runnerId)) return false;
  return request.allowedRunnerIds?.has(runner.runnerId) ?? true;
}
