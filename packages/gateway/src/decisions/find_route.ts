import type { Route } from "../model/route.js";
import type { RouteIndex } from "./route_index.js";

/** Returns the route with the longest prefix of the path, or undefined. */
export function findRoute(
  index: RouteIndex,
  request: { readonly host: string; readonly target: string },
): Route | undefined {
  const queryStart = request.target.indexOf("?");
  const path =
    queryStart === -1 ? request.target : request.target.slice(0, queryStart);
  return index
    .get(request.host)
    ?.find((route) => path.startsWith(route.pathPrefix));
}
