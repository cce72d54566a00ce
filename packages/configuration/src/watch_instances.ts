import type { Logger } from "@jujubeladder/logger";
import { computeBackoffMs, monotonicMs, sleep } from "@jujubeladder/utils";
import type { InstanceListView } from "./instance_list_view.js";
import type { PlatformClient } from "./platform_client.js";

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
    const askedAtMs = monotonicMs();
    const answer = await client.watchInstances(view.list.version, signal);
    if (signal.aborted) return;
    if (!answer.ok) {
      failures += 1;
      if (failures === 1) {
        logger.warn("instance_list_unreachable", { reason: answer.error });
      }
      await sleep(computeBackoffMs(failures), signal);
      continue;
    }
    failures = 0;
    if (answer.value.type === "changed") {
      view.replace(answer.value.value, monotonicMs());
      logger.info("instance_list_read", {
        version: view.list.version,
        instances: view.list.instances.length,
        runners: view.list.runners.length,
      });
    } else {
      view.confirm(monotonicMs());
    }
    await sleep(MIN_INTERVAL_MS - (monotonicMs() - askedAtMs), signal);
  }
}
