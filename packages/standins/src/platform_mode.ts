/**
 * How the stand-in serves a view: `up` returns current data, `down` closes
 * the connection, `stale` returns the data as of the switch to `stale`.
 */
export type PlatformMode = "up" | "down" | "stale";
