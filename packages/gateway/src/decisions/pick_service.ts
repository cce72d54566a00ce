import type { Route } from "../model/route.js";
import { hashToShare } from "./hash_to_share.js";

/** Picks the service of a request by weight; the same for the same id. */
export function pickService(route: Route, requestId: string): string {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  const [first] = route.targets;
  if (!first) throw new Error(`Route ${route.routeId} leads to no service`);
  let point = hashToShare(requestId) * total;
  for (const { serviceId, weight } of route.targets) {
    point -= weight;
    if (point < 0) return serviceId;
  }
  return first.serviceId;
}
