import type { ObjectiveWeights } from "@jujubeladder/types";
import { GrowthCurve } from "./growth_curve.js";
import type { LengthDistribution } from "./length_distribution.js";
import type { PlacementDecision } from "./placement_decision.js";
import type { RunnerBook } from "./runner_book.js";
import type { SchedulingRequest } from "./scheduling_request.js";

const PREFIX_BONUS = 0.05;
const NOISE = 0.1;
const STREAMS_SCALE = 32;

/** What a placement weighs besides the request and the runners. */
interface PlacementContext {
  readonly nowMs: number;
  readonly region: string;
  readonly objective: ObjectiveWeights;
  readonly distribution: LengthDistribution;
  readonly deviations: number;
  /** Streams that peers are thought to have added to each runner. */
  readonly unseenStreams: number;
  readonly random: () => number;
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
  const unseen = new GrowthCurve();
  const { promptTokens } = request;
  const stream = { contextTokens: promptTokens, producedTokens: 0, count: 1 };
  added.addStreams(context.distribution, stream);
  unseen.addCurve(added, 1 + context.unseenStreams);
  let best: (PlacementDecision & { type: "placed" }) | undefined;
  let candidates = 0;
  let known = 0;
  for (const runner of runners) {
    if (!isAllowed(request, runner)) continue;
    known += 1;
    const load = runner.load;
    if (!load) continue;
    const curve = runner.curve(context.distribution, context.nowMs);
    const peak = curve.peakTokens(context.deviations, unseen);
    const predictedPeakShare = peak / load.capacityTokens;
    const isEmpty = runner.runningStreams() === 0;
    if (predictedPeakShare > 1 && !isEmpty) continue;
    candidates += 1;
    const isPrefixHit = runner.hasPrefix(request.prefixKey);
    const isSameRegion = runner.region === context.region;
    const runningStreams = runner.runningStreams() + context.unseenStreams;
    const { objective } = context;
    const score =
      objective.preemptions * predictedPeakShare +
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
    known === 0 ? "no runner is left to try" : "no runner has memory for it";
  return { type: "held", reason };
}

function isAllowed(request: SchedulingRequest, runner: RunnerBook): boolean {
  if (request.excludedRunnerIds.has(runner.runnerId)) return false;
  return request.allowedRunnerIds?.has(runner.runnerId) ?? true;
}
