import { rankByRendezvous } from "@jujubeladder/utils";

/**
 * Keeps suspects apart: each instance has runners of its own for them, and
 * runs one suspect at a time on each, so that a second loss points at one
 * request.
 */
export class SuspectLane {
  readonly #busyRunners = new Set<string>();

  /** Takes a runner for a suspect; undefined when all are taken. */
  tryTake(options: {
    readonly fingerprint: string;
    readonly instanceId: string;
    readonly instanceIds: readonly string[];
    readonly runnerIds: readonly string[];
    readonly lostRunners: readonly string[];
  }): string | undefined {
    const own = listOwnRunners(options);
    const usable = own.filter((id) => !options.lostRunners.includes(id));
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

function listOwnRunners(options: {
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
