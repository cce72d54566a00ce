import { rankByRendezvous } from "@jujubeladder/utils";
import type { EngineFeatures } from "../model/engine_features.js";
import type { GatewayRunner } from "../model/gateway_runner.js";
import { hashToShare } from "./hash_to_share.js";
import type { RunnerCandidate } from "./runner_candidate.js";

/** Predicted share of a runner's memory up to which it takes a moved run. */
const ROOMY_SHARE = 0.85;

interface Room {
  readonly runner: GatewayRunner;
  readonly roomTokens: number;
}

/** What is to be moved, and from where. */
interface Move {
  readonly requestId: string;
  readonly needTokens: number;
  readonly source: GatewayRunner;
  /** Memory that all runs at the source will need. */
  readonly sourceTokens: number;
  readonly engine: EngineFeatures;
  /** Runners that had no room a moment ago. */
  readonly refused: ReadonlySet<string>;
}

/**
 * Chooses where a run moves to. Answers the load of many runs that leave one
 * runner at once, seen by instances with the same views and no time to agree:
 * each run picks by its own id, so that they spread. Runners of the source's
 * own zone take as many as they have room for, since a copy between zones
 * takes twice the time of the source's link; the rest goes to other zones of
 * its region. A copy to another region takes longer than a runner's notice
 * and holds up all others on the source's link, so that a run goes there only
 * if its region has no other runner.
 */
export function chooseMoveTarget(
  candidates: readonly RunnerCandidate[],
  move: Move,
): GatewayRunner | undefined {
  const { engine, source, needTokens } = move;
  const usable = candidates
    .filter(
      ({ runner, load }) =>
        runner.runnerId !== source.runnerId && load.requests < engine.slots,
    )
    .map(({ runner, load }) => ({
      runner,
      roomTokens: engine.memoryTokens * ROOMY_SHARE - load.peakTokens,
    }));
  const inRegion = usable.filter(
    ({ runner }) => runner.region === source.region,
  );
  const reachable = (inRegion.length > 0 ? inRegion : usable).filter(
    ({ runner }) => !move.refused.has(runner.runnerId),
  );
  const roomy = reachable.filter(({ roomTokens }) => roomTokens >= needTokens);
  return roomy.length > 0 ? pickRoomy(roomy, move) : pickLargest(reachable);
}

// The source's own zone first, as far as its room goes round.
function pickRoomy(
  roomy: readonly Room[],
  { requestId, source, sourceTokens }: Move,
): GatewayRunner | undefined {
  const isNear = ({ runner }: Room) =>
    runner.availabilityZone === source.availabilityZone;
  const near = roomy.filter(isNear);
  const far = roomy.filter((room) => !isNear(room));
  const nearTokens = near.reduce((sum, { roomTokens }) => sum + roomTokens, 0);
  const nearShare = nearTokens / Math.max(1, sourceTokens);
  const isForNear =
    near.length > 0 && (hashToShare(requestId) < nearShare || far.length === 0);
  const pool = isForNear ? near : far;
  const ids = pool.map(({ runner }) => runner.runnerId);
  const [first] = rankByRendezvous(requestId, ids);
  return pool.find(({ runner }) => runner.runnerId === first)?.runner;
}

// Predictions are of the end of all runs; there may be room for now.
function pickLargest(rooms: readonly Room[]): GatewayRunner | undefined {
  return [...rooms].sort((a, b) => b.roomTokens - a.roomTokens)[0]?.runner;
}
