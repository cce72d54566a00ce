import type { RunnerLoad } from "../model/runner_load.js";

/** Load that this instance causes on a runner until it is released. */
export interface ReservedLoad {
  readonly runnerId: string;
  readonly load: RunnerLoad;
}
