import { rankByRendezvous } from "@jujubeladder/utils";
import type { EngineFeatures } from "../model/engine_features.js";
import type { GatewayRunner } from "../model/gateway_runner.js";
import type { RunnerCandidate } from "./runner_candidate.js";

/** Predicted share of a runner's memory up to which it takes a moved run. */
const ROOMY_SHARE = 0.85;

/**
 * Chooses where a run moves to. Answers the load of many runs that leave one
 * runner at once, seen by instances with the same views: each run picks by
 * its own id among the runners with room, so that they spread. Runners of
 * the source's own zone come first, since copies between zones take twice as
 * long.
 */
export function chooseMoveTarget(
  candidates: readonly RunnerCandidate[],
  move: {
    readonly requestId: string;
    readonly needTokens: number;
    readonly source: GatewayRunner;
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
      share: (load.peakTokens + needTokens) / engine.memoryTokens,
    }));
  const roomy = usable.filter(({ share }) => share <= ROOMY_SHARE);
  const near = roomy.filter(
    ({ runner }) => runner.availabilityZone === source.availabilityZone,
  );
  const pool = near.length > 0 ? near : roomy;
  if (pool.length === 0) {
    return usable.sort((a, b) => a.share - b.share)[0]?.runner;
  }
  const ids = pool.map(({ runner }) => runner.runnerId);
  const [first] = rankByRendezvous(requestId, ids);
  return pool.find(({ runner }) => runner.runnerId === first)?.runner;
}
