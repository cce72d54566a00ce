import type { Instance, InstanceList, Runner } from "@jujubeladder/types";
import { monotonicMs } from "@jujubeladder/utils";

/** The last instance list read from the platform, and its age. */
export class InstanceListView {
  #list: InstanceList = { version: 0, instances: [], runners: [] };
  #instancesById: ReadonlyMap<string, Instance> = new Map();
  #runnersById: ReadonlyMap<string, Runner> = new Map();
  #runnersByService: ReadonlyMap<string, readonly Runner[]> = new Map();
  #confirmedAtMs = Number.NEGATIVE_INFINITY;

  get list(): InstanceList {
    return this.#list;
  }

  /** Milliseconds since the platform last confirmed the list. */
  get ageMs(): number {
    return monotonicMs() - this.#confirmedAtMs;
  }

  /** Records that the platform reported the list as unchanged. */
  confirm(confirmedAtMs: number): void {
    this.#confirmedAtMs = confirmedAtMs;
  }

  replace(list: InstanceList, confirmedAtMs: number): void {
    this.#list = list;
    this.#instancesById = new Map(list.instances.map((i) => [i.instanceId, i]));
    this.#runnersById = new Map(list.runners.map((r) => [r.runnerId, r]));
    this.#runnersByService = groupByService(list.runners);
    this.confirm(confirmedAtMs);
  }

  findInstance(instanceId: string): Instance | undefined {
    return this.#instancesById.get(instanceId);
  }

  findRunner(runnerId: string): Runner | undefined {
    return this.#runnersById.get(runnerId);
  }

  listRunners(serviceId: string): readonly Runner[] {
    return this.#runnersByService.get(serviceId) ?? [];
  }
}

function groupByService(
  runners: readonly Runner[],
): ReadonlyMap<string, readonly Runner[]> {
  const groups = new Map<string, Runner[]>();
  for (const runner of runners) {
    const group = groups.get(runner.serviceId);
    if (group) group.push(runner);
    else groups.set(runner.serviceId, [runner]);
  }
  return groups;
}
