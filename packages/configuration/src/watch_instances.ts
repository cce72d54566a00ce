import type { Logger } from "@jujubeladder/logger";
import { computeBackoffMs, monotonicMs, sleep } from "@jujubeladder/utils";
import type { InstanceListView } from "./instance_list_view.js";
import type { PlatformClient } from "./platform_client.js";

/** Limits the request rate when the platform responds without waiting. */
const MIN_INTERVAL_MS = 50;

/** Keeps the instance list view up to date until the signal aborts. */
export async function watchInstances(
  client: PlatformClient,
  view: InstanceListView,
  options: { readonly logger: Logger; readonly signal: AbortSignal },
): Promise<void> {
  const { logger, signal } = options;
  let failures = 0;
  while (!signal.aborted) {
    const requestedAtMs = monotonicMs();
    const watched = await client.watchInstances(view.list.version, signal);
    if (signal.aborted) return;
    if (!watched.ok) {
      failures += 1;
      if (failures === 1) {
        logger.warn("instance_list_unreachable", { reason: watched.error });
      }
      await sleep(computeBackoffMs(failures), signal);
      continue;
    }
    failures = 0;
    if (watched.value.type === "changed") {
      const { list, refused } = watched.value.value;
      view.replace(list, monotonicMs());
      if (refused.length > 0) {
        logger.warn("instance_list_entries_refused", {
          version: list.version,
          count: refused.length,
          first: refused[0],
        });
      }
      logger.info("instance_list_read", {
        version: view.list.version,
        instances: view.list.instances.length,
        runners: view.list.runners.length,
      });
    } else {
      view.confirm(monotonicMs());
    }
    await sleep(MIN_INTERVAL_MS - (monotonicMs() - requestedAtMs), signal);
  }
}
