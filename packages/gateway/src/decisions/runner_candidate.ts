import type { GatewayRunner } from "../model/gateway_runner.js";
import type { RunnerLoad } from "../model/runner_load.js";

/** A runner that may be chosen, with what speaks for and against it. */
export interface RunnerCandidate {
  readonly runner: GatewayRunner;
  readonly load: RunnerLoad;
  /** Recent share of requests that it failed, 0 to 1. */
  readonly failureShare: number;
}
