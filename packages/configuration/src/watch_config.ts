import type { Logger } from "@jujubeladder/logger";
import { computeBackoffMs, sleep } from "@jujubeladder/utils";
import type { ConfigView } from "./config_view.js";
import type { PlatformClient } from "./platform_client.js";

/** Keeps the configuration view up to date until the signal aborts. */
export async function watchConfig(
  client: PlatformClient,
  view: ConfigView,
  options: { readonly logger: Logger; readonly signal: AbortSignal },
): Promise<void> {
  const { logger, signal } = options;
  // The last revision received, valid or not. Passing it as the known revision
  // avoids fetching an invalid newest document in a loop.
  let receivedRevision = 0;
  let failures = 0;
  while (!signal.aborted) {
    const watched = await client.watchConfig(receivedRevision, signal);
    if (signal.aborted) return;
    if (!watched.ok) {
      failures += 1;
      if (failures === 1) {
        logger.warn("configuration_unreachable", { reason: watched.error });
      }
      await sleep(computeBackoffMs(failures), signal);
      continue;
    }
    failures = 0;
    if (watched.value.type === "unchanged") continue;
    view.applyIfNewer(watched.value.value, "service");
    receivedRevision = readRevision(watched.value.value, receivedRevision);
    await sleep(computeBackoffMs(0), signal);
  }
}

function readRevision(text: string, fallback: number): number {
  try {
    const { revision } = JSON.parse(text) as { revision?: unknown };
    return typeof revision === "number" ? revision : fallback;
  } catch {
    return fallback;
  }
}
