import { OrderReconciler, type Membership } from "@jujubeladder/coordination";
import type { Logger } from "@jujubeladder/logger";
import { EngineClient } from "@jujubeladder/upstream";
import type { RunnerAccess } from "../relay/runner_access.js";
import type { EntryViews } from "./entry_views.js";

/** What the keeper of orders is wired to. */
interface OrderSources {
  readonly views: EntryViews;
  readonly membership: Membership;
  readonly access: RunnerAccess;
  readonly logger: Logger;
}

/** Wires the keeper of orders to an instance's views and runners. */
export function createOrderKeeper(sources: OrderSources): OrderReconciler {
  const { views, membership, access, logger } = sources;
  return new OrderReconciler({
    instanceId: views.identity.instanceId,
    logger,
    document: () => views.config.document,
    listAliveInstanceIds: () =>
      membership
        .listAlive()
        .filter((peer) => !peer.isLeaving)
        .map((peer) => peer.instanceId),
    lastLoad: (runnerId) => access.lastLoad(runnerId),
    readLoad: async (runnerId) => access.readLoad(runnerId),
    sendOrder: async (target, fence) => {
      const runner = views.list.findRunner(target.runnerId);
      if (!runner) return { ok: false, error: "the runner is not listed" };
      return await new EngineClient(runner).sendOrder(target, fence);
    },
  });
}
