import process from "node:process";
import type { RunnerAccess } from "../relay/runner_access.js";
import { monotonicMs } from "@jujubeladder/utils";
import type { EntryCoordination } from "./entry_coordination.js";
import type { EntryViews } from "./entry_views.js";

/** What a status is made from. */
interface StatusSources {
  readonly views: EntryViews;
  readonly coordination: EntryCoordination;
  readonly access: RunnerAccess;
  readonly isReady: boolean;
  readonly activeRequests: number;
}

/** Describes an instance's views, their ages, and its peers. */
export function describeStatus(
  sources: StatusSources,
): Readonly<Record<string, unknown>> {
  const { views, coordination, access } = sources;
  const { membership, owner, witness } = coordination;
  const cpu = process.cpuUsage();
  return {
    identity: views.identity,
    isReady: sources.isReady,
    isLeaving: membership.isLeaving,
    activeRequests: sources.activeRequests,
    revision: views.config.revision,
    documentHash: views.config.hash,
    instanceListAgeMs: Math.round(views.list.ageMs),
    instanceListVersion: views.list.list.version,
    peers: membership.listAlive().map((peer) => ({
      instanceId: peer.instanceId,
      incarnation: peer.incarnation,
      revision: peer.revision,
      isLeaving: peer.isLeaving,
      ageMs: Math.round(monotonicMs() - peer.heardAtMs),
    })),
    runners: views.list.list.runners.map((runner) => ({
      runnerId: runner.runnerId,
      serviceId: runner.serviceId,
      isUsable: access
        .listUsable(runner.serviceId)
        .some((usable) => usable.runnerId === runner.runnerId),
      load: access.lastLoad(runner.runnerId),
      loadAgeMs: Math.round(access.loadAgeMs(runner.runnerId)),
    })),
    ownedTickets: owner.size,
    witnessedTickets: witness.size,
    successions: views.successions.list(),
    process: {
      cpuMs: (cpu.user + cpu.system) / 1_000,
      rssBytes: process.memoryUsage.rss(),
      heapBytes: process.memoryUsage().heapUsed,
    },
  };
}
