import type { EngineFeatures } from "../model/engine_features.js";
import { estimatePeakTokens } from "./estimate_peak_tokens.js";
import type { PlacementContext } from "./placement_context.js";
import type { RunnerCandidate } from "./runner_candidate.js";

/** Prefill throughput of an engine, from its data sheet. */
const PREFILL_TOKENS_PER_MS = 14;
/** Wait for queued prefill that scores the same as a full KV cache. */
const PREFILL_WAIT_SCALE_MS = 1_000;
/** Predicted share of the KV cache at which an engine counts as full. */
const MAX_CACHE_SHARE = 1;
/** Limit for urgent requests, which are short. */
const URGENT_MAX_CACHE_SHARE = 1.15;
const OTHER_ZONE_PENALTY = 0.02;
/** A cross-region round trip takes a tenth of a short request's target. */
const OTHER_REGION_PENALTY = 0.15;
const WARMUP_PENALTY = 0.2;
/** A failed request wastes a whole attempt, which outweighs any load. */
const FAILURE_WEIGHT = 3;
/** Requests that a plain runner accepts per slot; it queues the excess. */
const PLAIN_OVERCOMMIT = 2;

/**
 * Scores a runner for a request, the lower the better; undefined if it has no
 * room. For engines the score is the peak KV cache of the running requests plus
 * the wait for queued prefill, for plain services it is requests per slot.
 */
export function scoreCandidate(
  candidate: RunnerCandidate,
  context: PlacementContext,
): number | undefined {
  const loadScore = context.engine
    ? scoreEngine(candidate, context.engine, context)
    : scorePlain(candidate);
  return loadScore === undefined
    ? undefined
    : loadScore + penalty(candidate, context);
}

function scorePlain({ runner, load }: RunnerCandidate): number | undefined {
  const slots = Math.max(1, runner.slots);
  if (load.requests >= slots * PLAIN_OVERCOMMIT) return undefined;
  return load.requests / slots;
}

function scoreEngine(
  { load }: RunnerCandidate,
  engine: EngineFeatures,
  { work, isUrgent, firstToken }: PlacementContext,
): number | undefined {
  if (load.requests >= engine.slots) return undefined;
  const needTokens = work ? estimatePeakTokens(work, 0) : 0;
  const promptTokens = work?.promptTokens ?? 0;
  const tokens = load.peakTokens + needTokens;
  const cacheShare = tokens / engine.kvCacheTokens;
  const maxShare = isUrgent ? URGENT_MAX_CACHE_SHARE : MAX_CACHE_SHARE;
  if (cacheShare > maxShare && load.requests > 0) return undefined;
  const tokensPerMs = firstToken?.tokensPerMs ?? PREFILL_TOKENS_PER_MS;
  const prefillWaitMs = load.unreadTokens / tokensPerMs;
  // A prompt that is longer than the limit still fits where nothing waits.
  const isLate =
    firstToken !== undefined &&
    load.unreadTokens > 0 &&
    prefillWaitMs + promptTokens / tokensPerMs > firstToken.limitMs;
  if (isLate) return undefined;
  return cacheShare + prefillWaitMs / PREFILL_WAIT_SCALE_MS;
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
  const warmup = runner.warmAtMs > context.nowMs ? WARMUP_PENALTY : 0;
  return distance + warmup + failureShare * FAILURE_WEIGHT;
}
