import type { SuspicionChange } from "@jujubeladder/coordination";
import type { Logger } from "@jujubeladder/logger";

/** Logs what became known of a request that runners were lost with. */
export function logSuspicionChange(
  logger: Logger,
  change: SuspicionChange,
): void {
  const { fingerprint, status, lossCount, source } = change;
  const fields = { fingerprint, status, lost_runners: lossCount, source };
  switch (status) {
    case "suspect":
    case "cleared":
      logger.info("request_suspicion", fields);
      return;
    case "quarantined":
    case "evicted":
      logger.warn("request_suspicion", fields);
      return;
  }
}
