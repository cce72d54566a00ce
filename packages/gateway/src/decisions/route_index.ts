import type { Route } from "../model/route.js";

/** Routes by host, longest prefix first. */
export type RouteIndex = ReadonlyMap<string, readonly Route[]>;
