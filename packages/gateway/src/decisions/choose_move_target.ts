import { rankByRendezvous } from "@jujubeladder/utils";
import type { EngineFeatures } from "../model/engine_features.js";
import type { GatewayRunner } from "../model/gateway_runner.js";
import { hashToShare } from "./hash_to_share.js";
import type { RunnerCandidate } from "./runner_candidate.js";

/** Predicted share of a runner's memory up to which it takes a moved run. */
const ROOMY_SHARE = 0.85;

/**
 * Chooses where a run moves to. Answers the load of many runs that leave one
 * runner at once, seen by instances with the same views and no time to agree:
 * each run picks by its own id, so that they spread. Runners of the source's
 * own zone take as many as they have room for, since a copy between zones
 * takes twice the time of the source's link; the rest goes elsewhere.
 */
export function chooseMoveTarget(
  candidates: readonly RunnerCandidate[],
  move: {
    readonly requestId: string;
    readonly needTokens: number;
    readonly source: GatewayRunner;
    /** Memory that all runs at the source will need. */
    readonly sourceTokens: number;
    readonly engine: EngineFeatures;
  },
): GatewayRunner | undefined {
  const { engine, source, needTokens, requestId } = move;
  const usable = candidates
    .filter(
      ({ runner, load }) =>
        runner.runnerId !== source.runnerId && load.requests < engine.slots,
    )
    .map(({ runner, load }) => ({
      runner,
      roomTokens: engine.memoryTokens * ROOMY_SHARE - load.peakTokens,
    }));
  const roomy = usable.filter(({ roomTokens }) => roomTokens >= needTokens);
  const isNear = ({ runner }: { readonly runner: GatewayRunner }) =>
    runner.availabilityZone === source.availabilityZone;
  const near = roomy.filter(isNear);
  const nearTokens = near.reduce((sum, { roomTokens }) => sum + roomTokens, 0);
  const nearShare = nearTokens / Math.max(1, move.sourceTokens);
  const point = hashToShare(requestId);
  const far = roomy.filter((candidate) => !isNear(candidate));
  const isForNear = near.length > 0 && (point < nearShare || far.length === 0);
  const pool = isForNear ? near : far;
  if (pool.length === 0) {
    return usable.sort((a, b) => b.roomTokens - a.roomTokens)[0]?.runner;
  }
  const ids = pool.map(({ runner }) => runner.runnerId);
  const [first] = rankByRendezvous(requestId, ids);
  return pool.find(({ runner }) => runner.runnerId === first)?.runner;
}
