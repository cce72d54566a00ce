import process from "node:process";
import type { RunnerMonitor } from "../relay/runner_monitor.js";
import { monotonicMs } from "@jujubeladder/utils";
import type { EntryCoordination } from "./entry_coordination.js";
import type { EntryViews } from "./entry_views.js";

/** Inputs of the status report. */
interface StatusSources {
  readonly views: EntryViews;
  readonly coordination: EntryCoordination;
  readonly monitor: RunnerMonitor;
  readonly isReady: boolean;
  readonly activeRequests: number;
}

/** Builds the body of `/status`: views, their ages, peers and runners. */
export function describeStatus(
  sources: StatusSources,
): Readonly<Record<string, unknown>> {
  const { views, coordination, monitor } = sources;
  const { membership, owner, witness } = coordination;
  const cpu = process.cpuUsage();
  return {
    identity: views.identity,
    isReady: sources.isReady,
    isLeaving: membership.isLeaving,
    activeRequests: sources.activeRequests,
    revision: views.config.revision,
    documentHash: views.config.hash,
    instanceListAgeMs: Math.round(views.instanceList.ageMs),
    instanceListVersion: views.instanceList.list.version,
    peers: membership.listAlive().map((peer) => ({
      instanceId: peer.instanceId,
      incarnation: peer.incarnation,
      revision: peer.revision,
      isLeaving: peer.isLeaving,
      ageMs: Math.round(monotonicMs() - peer.heardAtMs),
    })),
    runners: views.instanceList.list.runners.map((runner) => ({
      runnerId: runner.runnerId,
      serviceId: runner.serviceId,
      isUsable: monitor
        .listUsable(runner.serviceId)
        .some((usable) => usable.runnerId === runner.runnerId),
      load: monitor.lastLoad(runner.runnerId),
      loadAgeMs: Math.round(monitor.loadAgeMs(runner.runnerId)),
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
