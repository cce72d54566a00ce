import type { Route } from "../model/route.js";
import type { RouteIndex } from "./route_index.js";

/** Groups routes by host, longest prefix first. */
export function indexRoutes(routes: readonly Route[]): RouteIndex {
  const byHost = new Map<string, Route[]>();
  for (const route of routes) {
    const group = byHost.get(route.host);
    if (group) group.push(route);
    else byHost.set(route.host, [route]);
  }
  for (const group of byHost.values()) {
    group.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  }
  return byHost;
}
