import { hashText } from "@jujubeladder/utils";
import type { Route } from "../model/route.js";

/** Picks the service of a request by weight; the same for the same id. */
export function pickService(route: Route, requestId: string): string {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  const [first] = route.targets;
  if (!first) throw new Error(`Route ${route.routeId} leads to no service`);
  let point = ((hashText(requestId) >>> 0) / 2 ** 32) * total;
  for (const { serviceId, weight } of route.targets) {
    point -= weight;
    if (point < 0) return serviceId;
  }
  return first.serviceId;
}
