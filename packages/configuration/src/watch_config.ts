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
  // The revision last answered, even when refused: asking for anything else
  // than that keeps a refused newest revision from being fetched in a loop.
  let answeredRevision = 0;
  let failures = 0;
  while (!signal.aborted) {
    const answer = await client.watchConfig(answeredRevision, signal);
    if (signal.aborted) return;
    if (!answer.ok) {
      failures += 1;
      if (failures === 1) {
        logger.warn("configuration_unreachable", { reason: answer.error });
      }
      await sleep(computeBackoffMs(failures), signal);
      continue;
    }
    failures = 0;
    if (answer.value.type === "unchanged") continue;
    view.offer(answer.value.value, "service");
    answeredRevision = readRevision(answer.value.value, answeredRevision);
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
