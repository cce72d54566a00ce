import type { RunnerChange } from "./runner_change.js";

/** Changes to the list of runners that the store still keeps. */
export interface RunnerHistory {
  readonly changes: readonly RunnerChange[];
  /** How much of them the store keeps. */
  readonly extent: "all" | "recent" | "none";
}
