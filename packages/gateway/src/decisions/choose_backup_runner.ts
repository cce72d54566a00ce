import { rankByRendezvous } from "@jujubeladder/utils";
import type { EngineFeatures } from "../model/engine_features.js";
import type { GatewayRunner } from "../model/gateway_runner.js";
import type { RunnerCandidate } from "./runner_candidate.js";

/**
 * Predicted share of its KV cache up to which a runner accepts backups. The
 * rest is left to requests, which a full cache would preempt.
 */
const MAX_BACKUP_SHARE = 0.7;
/** Runners compared per request; more would let peers choose the same one. */
const COMPARED_RUNNERS = 2;

/** A run to back up. */
interface BackedRun {
  readonly requestId: string;
  /** KV cache that the run will need. */
  readonly needTokens: number;
  readonly source: GatewayRunner;
  readonly engine: EngineFeatures;
}

/**
 * Chooses the runner that maintains a backup of a run, so that the run resumes
 * there when its runner crashes or exits before a copy is made. A token takes
 * twice as long to another zone as within one and ten times as long to another
 * region, where backups fall behind and hold up the copies on both links; so
 * only runners of the region are used. Undefined if none has room to spare.
 */
export function chooseBackupRunner(
  candidates: readonly RunnerCandidate[],
  { requestId, needTokens, source, engine }: BackedRun,
): GatewayRunner | undefined {
  const maxTokens = engine.kvCacheTokens * MAX_BACKUP_SHARE;
  const inRegion = candidates.filter(
    ({ runner, load }) =>
      runner.region === source.region &&
      runner.runnerId !== source.runnerId &&
      load.peakTokens + needTokens <= maxTokens,
  );
  const inZone = inRegion.filter(
    ({ runner }) => runner.availabilityZone === source.availabilityZone,
  );
  const nearest = inZone.length > 0 ? inZone : inRegion;
  const byId = new Map(nearest.map((entry) => [entry.runner.runnerId, entry]));
  const [best] = rankByRendezvous(requestId, [...byId.keys()])
    .slice(0, COMPARED_RUNNERS)
    .flatMap((runnerId) => byId.get(runnerId) ?? [])
    .sort((a, b) => a.load.peakTokens - b.load.peakTokens);
  return best?.runner;
}
