import { OrderReconciler, type Membership } from "@jujubeladder/coordination";
import type { Logger } from "@jujubeladder/logger";
import { EngineClient } from "@jujubeladder/upstream";
import type { RunnerMonitor } from "../relay/runner_monitor.js";
import type { EntryViews } from "./entry_views.js";

/** Dependencies of the reconciler, provided by the instance. */
interface OrderReconcilerDependencies {
  readonly views: EntryViews;
  readonly membership: Membership;
  readonly monitor: RunnerMonitor;
  readonly logger: Logger;
}

/** Creates the order reconciler from an instance's views and runners. */
export function createOrderReconciler(
  dependencies: OrderReconcilerDependencies,
): OrderReconciler {
  const { views, membership, monitor, logger } = dependencies;
  return new OrderReconciler({
    instanceId: views.identity.instanceId,
    logger,
    document: () => views.config.document,
    listAliveInstanceIds: () =>
      membership
        .listAlive()
        .filter((peer) => !peer.isLeaving)
        .map((peer) => peer.instanceId),
    lastLoad: (runnerId) => monitor.lastLoad(runnerId),
    readLoad: async (runnerId) => monitor.readLoad(runnerId),
    sendOrder: async (target, fence) => {
      const runner = views.instanceList.findRunner(target.runnerId);
      if (!runner) return { ok: false, error: "the runner is not listed" };
      return await new EngineClient(runner).sendOrder(target, fence);
    },
  });
}
