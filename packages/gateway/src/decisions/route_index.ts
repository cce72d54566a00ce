import type { Route } from "../model/route.js";

/** Routes of each host, longest prefix first. */
export type RouteIndex = ReadonlyMap<string, readonly Route[]>;
