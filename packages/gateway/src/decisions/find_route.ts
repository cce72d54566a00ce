import type { Route } from "../model/route.js";
import type { RouteIndex } from "./route_index.js";

/** Finds the route with the longest prefix of the path; ignores the query. */
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
