import { sleep } from "@jujubeladder/utils";
import type { Fleet } from "../harness/fleet.js";
import { readStatus } from "./read_status.js";

const INTERVAL_MS = 100;

/**
 * Reports a violation when an entry's configuration revision decreases within
 * one incarnation.
 */
export async function watchRevisions(
  fleet: Fleet,
  signal: AbortSignal,
  report: (violation: string) => void,
): Promise<void> {
  const highest = new Map<string, number>();
  while (!signal.aborted) {
    for (const name of fleet.entryNames) {
      const status = await readStatus(fleet, name).catch(() => undefined);
      if (!status) continue;
      const key = `${name}/${status.identity.incarnation}`;
      const highestSeen = highest.get(key) ?? 0;
      if (status.revision < highestSeen) {
        report(
          `${name} went from revision ${highestSeen} to ${status.revision}`,
        );
      }
      highest.set(key, Math.max(highestSeen, status.revision));
    }
    await sleep(INTERVAL_MS, signal);
  }
}
