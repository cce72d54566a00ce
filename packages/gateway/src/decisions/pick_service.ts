import type { Route } from "../model/route.js";
import { hashToUnitInterval } from "./hash_to_unit_interval.js";

/** Picks a service by weight; the same request id gets the same service. */
export function pickService(route: Route, requestId: string): string {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  const [first] = route.targets;
  if (!first) throw new Error(`Route ${route.routeId} has no targets`);
  let point = hashToUnitInterval(requestId) * total;
  for (const { serviceId, weight } of route.targets) {
    point -= weight;
    if (point < 0) return serviceId;
  }
  return first.serviceId;
}
