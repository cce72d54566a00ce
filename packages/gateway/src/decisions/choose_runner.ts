import type { PlacementChoice } from "./placement_choice.js";
import type { PlacementContext } from "./placement_context.js";
import type { RunnerCandidate } from "./runner_candidate.js";
import { scoreCandidate } from "./score_candidate.js";

/**
 * Scores this close are indistinguishable in a large fleet: the difference is
 * about the KV cache and prefill of one generation, which a peer may have
 * placed without this instance having received its load yet.
 */
const SCORE_TOLERANCE = 0.3;
/**
 * The same where the loads of all instances are known, but for the placements of
 * the last tenth of a second.
 */
const KNOWN_LOAD_TOLERANCE = 0.1;

/**
 * Chooses the runner with the lowest predicted load. For engines this is the
 * peak KV cache of the running requests plus the wait for queued prefill:
 * choosing by the number of running requests would cause preemptions on
 * crowded engines. For plain services it is requests per slot. Instances that
 * share the same stale view would all choose the same engine; with `random`
 * they spread over the engines whose scores are indistinguishable.
 */
export function chooseRunner(
  candidates: readonly RunnerCandidate[],
  context: PlacementContext,
): PlacementChoice {
  const scored: Scored[] = [];
  for (const candidate of candidates) {
    const score = scoreCandidate(candidate, context);
    if (score !== undefined) scored.push({ candidate, score });
  }
  const best = pickBest(scored, context);
  const candidateCount = candidates.length;
  if (best) {
    const { candidate, score } = best;
    return { type: "placed", runner: candidate.runner, score, candidateCount };
  }
  return candidateCount === 0
    ? { type: "no_runner" }
    : { type: "no_capacity", candidateCount };
}

interface Scored {
  readonly candidate: RunnerCandidate;
  readonly score: number;
}

function pickBest(
  scored: readonly Scored[],
  { engine, random, firstToken }: PlacementContext,
): Scored | undefined {
  let best: Scored | undefined;
  for (const entry of scored) {
    if (!best || entry.score < best.score) best = entry;
  }
  if (!best || !engine || random === undefined) return best;
  const limit =
    best.score + (firstToken ? KNOWN_LOAD_TOLERANCE : SCORE_TOLERANCE);
  const nearBest = scored.filter(({ score }) => score <= limit);
  return nearBest[Math.floor(random * nearBest.length)];
}
