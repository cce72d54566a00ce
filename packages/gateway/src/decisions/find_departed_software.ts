import type { DepartedSoftware } from "../model/departed_software.js";
import type { GatewayRunner } from "../model/gateway_runner.js";
import type { RunnerChange } from "../model/runner_change.js";

/**
 * Finds the software versions of runners that were listed in a history of changes
 * and are not any more; undefined if the history shows that a runner was removed,
 * and not which version it had.
 */
export function findDepartedSoftware(
  changes: readonly RunnerChange[],
  findListed: (runnerId: string) => GatewayRunner | undefined,
): readonly DepartedSoftware[] | undefined {
  const departed: DepartedSoftware[] = [];
  const shown = new Set<string>();
  for (const change of changes) {
    if (change.type === "removed") {
      if (!shown.has(change.runnerId) && !findListed(change.runnerId))
        return undefined;
      continue;
    }
    const { runnerId, serviceId, softwareVersion } = change.runner;
    shown.add(runnerId);
    const isListed =
      findListed(runnerId)?.startedAtMs === change.runner.startedAtMs;
    if (!isListed) departed.push({ serviceId, softwareVersion, ageMs: 0 });
  }
  return departed;
}
