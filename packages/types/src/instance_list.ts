import type { Instance } from "./instance.js";
import type { Runner } from "./runner.js";

/** One version of the platform's list of instances and runners. */
export interface InstanceList {
  readonly version: number;
  readonly instances: readonly Instance[];
  readonly runners: readonly Runner[];
}
