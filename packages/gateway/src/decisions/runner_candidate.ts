import type { GatewayRunner } from "../model/gateway_runner.js";
import type { RunnerLoad } from "../model/runner_load.js";

/** A runner that may be chosen, with the inputs of its score. */
export interface RunnerCandidate {
  readonly runner: GatewayRunner;
  readonly load: RunnerLoad;
  /** Recent share of failed requests, from 0 to 1. */
  readonly failureShare: number;
}
