/** How the stand-in answers the readers of one view. */
export type PlatformMode = "up" | "down" | "stale";
