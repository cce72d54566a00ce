import type { RunnerLoad } from "./runner_load.js";

/** Loads in whole numbers, by the 32-bit hash of the runner's id. */
export type LoadTable = ReadonlyMap<number, RunnerLoad>;
