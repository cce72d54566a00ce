import { rankByRendezvous } from "@jujubeladder/utils";
import type { EngineFeatures } from "../model/engine_features.js";
import type { GatewayRunner } from "../model/gateway_runner.js";
import { hashToUnitInterval } from "./hash_to_unit_interval.js";
import type { RunnerCandidate } from "./runner_candidate.js";

/** Predicted share of its KV cache up to which a runner accepts a migration. */
const MAX_TARGET_SHARE = 0.85;

interface TargetCapacity {
  readonly runner: GatewayRunner;
  readonly freeTokens: number;
}

/** A run to migrate, and its source. */
interface Migration {
  readonly requestId: string;
  readonly needTokens: number;
  readonly source: GatewayRunner;
  /** KV cache that all runs on the source will need. */
  readonly sourceTokens: number;
  readonly engine: EngineFeatures;
  /** Runners that recently refused a copy for lack of KV cache capacity. */
  readonly refusedRunnerIds: ReadonlySet<string>;
}

/**
 * Chooses the target runner of a migration. When a runner leaves, many runs
 * migrate at once, and instances with the same view have no time to
 * coordinate: each run picks by a hash of its request id, which spreads them.
 * Runners in the source's zone take as many as they have capacity for, because
 * a copy across zones occupies the source's link for twice as long; the
 * others go to other zones of the region. A copy to another region takes
 * longer than the notice that a leaving runner gives and delays all other
 * copies on the source's link, so it is used only if the region has no other
 * runner with a free slot.
 */
export function chooseMigrationTarget(
  candidates: readonly RunnerCandidate[],
  migration: Migration,
): GatewayRunner | undefined {
  const { engine, source, needTokens } = migration;
  const eligible = candidates
    .filter(
      ({ runner, load }) =>
        runner.runnerId !== source.runnerId && load.requests < engine.slots,
    )
    .map(({ runner, load }) => ({
      runner,
      freeTokens: engine.kvCacheTokens * MAX_TARGET_SHARE - load.peakTokens,
    }));
  const inRegion = eligible.filter(
    ({ runner }) => runner.region === source.region,
  );
  const reachable = (inRegion.length > 0 ? inRegion : eligible).filter(
    ({ runner }) => !migration.refusedRunnerIds.has(runner.runnerId),
  );
  const fitting = reachable.filter(
    ({ freeTokens }) => freeTokens >= needTokens,
  );
  return fitting.length > 0
    ? pickFitting(fitting, migration)
    : pickMostFree(reachable);
}

// Prefers the source's zone for the share of its runs that fits there; the
// request id decides which runs belong to that share.
function pickFitting(
  fitting: readonly TargetCapacity[],
  { requestId, source, sourceTokens }: Migration,
): GatewayRunner | undefined {
  const isSameZone = ({ runner }: TargetCapacity) =>
    runner.availabilityZone === source.availabilityZone;
  const sameZone = fitting.filter(isSameZone);
  const otherZones = fitting.filter((target) => !isSameZone(target));
  const sameZoneTokens = sameZone.reduce(
    (sum, { freeTokens }) => sum + freeTokens,
    0,
  );
  const sameZoneShare = sameZoneTokens / Math.max(1, sourceTokens);
  const usesSameZone =
    sameZone.length > 0 &&
    (hashToUnitInterval(requestId) < sameZoneShare || otherZones.length === 0);
  const pool = usesSameZone ? sameZone : otherZones;
  const ids = pool.map(({ runner }) => runner.runnerId);
  const [first] = rankByRendezvous(requestId, ids);
  return pool.find(({ runner }) => runner.runnerId === first)?.runner;
}

// Predictions cover the peak of all runs; a run may still fit right now.
function pickMostFree(
  targets: readonly TargetCapacity[],
): GatewayRunner | undefined {
  return [...targets].sort((a, b) => b.freeTokens - a.freeTokens)[0]?.runner;
}
