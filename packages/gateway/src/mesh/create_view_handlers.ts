import type { ServiceImpl } from "@connectrpc/connect";
import type { PeerService } from "@jujubeladder/protocol";
import type { ActiveConfig } from "../views/active_config.js";
import type { RunnerWatchCache } from "../views/runner_watch_cache.js";
import type { StoreReadHealth } from "../views/store_read_health.js";
import { encodeRunnerEntries } from "./encode_runner_entries.js";
import { toStorePosition } from "./to_store_position.js";

/** Limit on the wait that a peer may request. */
const MAX_WAIT_MS = 5_000;

/**
 * Creates the handlers through which peers watch the configuration and the
 * runners without reading the store. While this instance cannot read the store
 * itself, responses carry no age, so that peers choose another reader.
 */
export function createViewHandlers(dependencies: {
  readonly activeConfig: ActiveConfig;
  readonly configHealth: StoreReadHealth;
  readonly watchCache: RunnerWatchCache;
  readonly runnersHealth: StoreReadHealth;
}): Pick<ServiceImpl<typeof PeerService>, "watchConfig" | "watchRunners"> {
  const { activeConfig, configHealth, watchCache, runnersHealth } =
    dependencies;
  return {
    watchConfig: async ({ version, waitMs }) => {
      await activeConfig.waitForVersionAbove(Number(version), {
        waitMs: Math.min(waitMs, MAX_WAIT_MS),
        shouldWait: () => configHealth.isHealthy,
      });
      const ageMs = activeConfig.confirmedAgeMs;
      const { readAgeMs } = activeConfig;
      const isConfirmed = configHealth.isHealthy && Number.isFinite(ageMs);
      const isRead = configHealth.isHealthy && Number.isFinite(readAgeMs);
      return {
        version: BigInt(activeConfig.version),
        documentHash: activeConfig.hash,
        ...(isConfirmed ? { ageMs: Math.ceil(Math.max(0, ageMs)) } : {}),
        ...(isRead ? { readAgeMs: Math.ceil(Math.max(0, readAgeMs)) } : {}),
      };
    },
    watchRunners: async ({ asOf, asOfEra: era, waitMs }) => {
      const { asOf: known } = watchCache;
      const since = toStorePosition({ era, revision: asOf }, known.era);
      if (!since) return { asOf };
      const update = await watchCache.readSince(
        asOf === 0n ? undefined : since,
        {
          waitMs: Math.min(waitMs, MAX_WAIT_MS),
          shouldWait: () => runnersHealth.isHealthy,
        },
      );
      if (!update || !runnersHealth.isHealthy) return { asOf };
      return {
        asOf: BigInt(update.asOf.revision),
        asOfEra: BigInt(update.asOf.era),
        ageMs: Math.ceil(Math.max(0, update.ageMs)),
        isList: update.type === "list",
        entries: encodeRunnerEntries(update),
      };
    },
  };
}
