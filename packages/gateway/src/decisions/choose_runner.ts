import type { EngineFeatures } from "../model/engine_features.js";
import type { GenerationWork } from "../model/generation_work.js";
import { estimateNeed } from "./estimate_need.js";
import type { PlacementChoice } from "./placement_choice.js";
import type { RunnerCandidate } from "./runner_candidate.js";

/** Prompt tokens that an engine reads in a millisecond; from its data sheet. */
const READ_TOKENS_PER_MS = 14;
/** Wait for prompts ahead that weighs as much as a full memory. */
const READ_WAIT_SCALE_MS = 1_000;
/** Memory is taken to be full at this predicted share of it. */
const FULL_SHARE = 1;
/** Urgent requests, which are short, may use this share. */
const URGENT_FULL_SHARE = 1.15;
const OTHER_ZONE_PENALTY = 0.02;
/** A round trip between regions is a tenth of a short request's target. */
const OTHER_REGION_PENALTY = 0.15;
const COLD_PENALTY = 0.2;
/** Each failed request costs a whole attempt, more than any load does. */
const FAILURE_WEIGHT = 3;
/**
 * Difference of score that a large fleet's view can't tell: about one
 * generation's memory and prompt, placed by a peer that was not heard yet.
 */
const UNSURE_SCORE = 0.3;
/** Requests that a plain runner queues beyond its slots. */
const PLAIN_OVERCOMMIT = 2;

/** What placement knows beside the candidates. */
interface PlacementContext {
  readonly availabilityZone: string;
  readonly region: string;
  readonly nowMs: number;
  readonly engine?: EngineFeatures | undefined;
  readonly work?: GenerationWork | undefined;
  readonly isUrgent: boolean;
  /** Set where only some peers' placements are known; from 0 to below 1. */
  readonly random?: number | undefined;
}

/**
 * Chooses the runner with the least predicted load. For engines that is the
 * memory that running requests will need at their end and the prompts that
 * are read first; answers the load of crowded engines, where least running
 * requests would preempt. For plain services it is requests per slot. Many
 * instances with the same late view would all choose the same engine; with
 * `random` they spread over those that they can't tell apart.
 */
export function chooseRunner(
  candidates: readonly RunnerCandidate[],
  context: PlacementContext,
): PlacementChoice {
  const scored = candidates.flatMap((candidate) => {
    const use = context.engine
      ? engineUse(candidate, context.engine, context)
      : plainUse(candidate);
    if (use === undefined) return [];
    return [{ candidate, score: use + penalty(candidate, context) }];
  });
  const best = pickBest(scored, context.engine ? context.random : undefined);
  const candidateCount = candidates.length;
  if (best) {
    const { candidate, score } = best;
    return { type: "placed", runner: candidate.runner, score, candidateCount };
  }
  return candidateCount === 0
    ? { type: "no_runner" }
    : { type: "held", candidateCount };
}

interface Scored {
  readonly candidate: RunnerCandidate;
  readonly score: number;
}

function pickBest(
  scored: readonly Scored[],
  random: number | undefined,
): Scored | undefined {
  let best: Scored | undefined;
  for (const entry of scored) {
    if (!best || entry.score < best.score) best = entry;
  }
  if (!best || random === undefined) return best;
  const limit = best.score + UNSURE_SCORE;
  const alike = scored.filter(({ score }) => score <= limit);
  return alike[Math.floor(random * alike.length)];
}

function plainUse({ runner, load }: RunnerCandidate): number | undefined {
  const slots = Math.max(1, runner.slots);
  if (load.requests >= slots * PLAIN_OVERCOMMIT) return undefined;
  return load.requests / slots;
}

function engineUse(
  { load }: RunnerCandidate,
  engine: EngineFeatures,
  context: PlacementContext,
): number | undefined {
  if (load.requests >= engine.slots) return undefined;
  const need = context.work ? estimateNeed(context.work, 0) : 0;
  const share = (load.peakTokens + need) / engine.memoryTokens;
  const full = context.isUrgent ? URGENT_FULL_SHARE : FULL_SHARE;
  if (share > full && load.requests > 0) return undefined;
  const readWaitMs = load.unreadTokens / READ_TOKENS_PER_MS;
  return share + readWaitMs / READ_WAIT_SCALE_MS;
}

function penalty(
  { runner, failureShare }: RunnerCandidate,
  context: PlacementContext,
): number {
  const distance =
    runner.availabilityZone === context.availabilityZone
      ? 0
      : runner.region === context.region
        ? OTHER_ZONE_PENALTY
        : OTHER_REGION_PENALTY;
  const cold = runner.warmAtMs > context.nowMs ? COLD_PENALTY : 0;
  return distance + cold + failureShare * FAILURE_WEIGHT;
}
