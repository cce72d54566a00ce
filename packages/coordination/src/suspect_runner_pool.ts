import { rankByRendezvous } from "@jujubeladder/utils";

/**
 * Assigns suspect requests to runners in isolation from each other. The runners
 * are partitioned between the instances, and each runs one suspect at a time,
 * so that another lost runner can be attributed to a single request. An
 * instance without a usable runner of its own picks from all that the request
 * has not lost.
 */
export class SuspectRunnerPool {
  readonly #busyRunners = new Set<string>();

  /** Reserves a runner for a suspect; undefined if all are reserved. */
  tryAcquire(options: {
    readonly fingerprint: string;
    readonly instanceId: string;
    readonly instanceIds: readonly string[];
    readonly runnerIds: readonly string[];
    readonly lostRunners: readonly string[];
  }): string | undefined {
    const assigned = listAssignedRunners(options);
    const usable = assigned.filter((id) => !options.lostRunners.includes(id));
    const ranked = rankByRendezvous(
      options.fingerprint,
      usable.length > 0
        ? usable
        : options.runnerIds.filter((id) => !options.lostRunners.includes(id)),
    );
    const free = ranked.find((id) => !this.#busyRunners.has(id));
    if (free !== undefined) this.#busyRunners.add(free);
    return free;
  }

  release(runnerId: string): void {
    this.#busyRunners.delete(runnerId);
  }
}

function listAssignedRunners(options: {
  readonly instanceId: string;
  readonly instanceIds: readonly string[];
  readonly runnerIds: readonly string[];
}): readonly string[] {
  const instanceIds = [...options.instanceIds].sort();
  const index = instanceIds.indexOf(options.instanceId);
  if (index === -1) return [];
  return [...options.runnerIds]
    .sort()
    .filter((_, position) => position % instanceIds.length === index);
}
