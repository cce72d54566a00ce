import { create } from "@bufbuild/protobuf";
import { ViewStateSchema, type ViewState } from "@jujubeladder/protocol";
import type { EvacuatedZones } from "../views/evacuated_zones.js";
import { encodeEvacuations } from "./encode_evacuations.js";
import type { ActiveConfig } from "../views/active_config.js";
import type { RunnerWatchCache } from "../views/runner_watch_cache.js";
import type { StoreReadHealth } from "../views/store_read_health.js";

/** Peers reject younger views than this already. */
const MAX_AGE_MS = 10_000;

/** Returns what this instance has read of the store. */
export function readViewState(dependencies: {
  readonly activeConfig: ActiveConfig;
  readonly evacuatedZones?: EvacuatedZones;
  readonly configHealth: StoreReadHealth;
  readonly watchCache: RunnerWatchCache;
  readonly runnersHealth: StoreReadHealth;
}): ViewState {
  const { activeConfig, configHealth, watchCache, runnersHealth } =
    dependencies;
  const configAgeMs = toAge(configHealth, activeConfig.confirmedAgeMs);
  const configReadAgeMs = toAge(configHealth, activeConfig.readAgeMs);
  const runnersAgeMs = toAge(runnersHealth, watchCache.ageMs);
  return create(ViewStateSchema, {
    ...encodeEvacuations(dependencies.evacuatedZones?.describe()),
    configVersion: BigInt(activeConfig.version),
    configHash: activeConfig.hash,
    ...(configAgeMs === undefined ? {} : { configAgeMs }),
    ...(configReadAgeMs === undefined ? {} : { configReadAgeMs }),
    runnersAsOf: BigInt(watchCache.asOf.revision),
    runnersEra: BigInt(watchCache.asOf.era),
    runnersChangedAsOf: BigInt(watchCache.changedAsOf.revision),
    ...(runnersAgeMs === undefined ? {} : { runnersAgeMs }),
  });
}

// No age tells peers to choose another reader.
function toAge(health: StoreReadHealth, ageMs: number): number | undefined {
  return health.isHealthy && ageMs <= MAX_AGE_MS
    ? Math.ceil(Math.max(0, ageMs))
    : undefined;
}
