import type { GatewayRunner } from "./gateway_runner.js";
import type { RunnerChange } from "./runner_change.js";

/** The list of runners, or its changes, as a peer that reads it has them. */
export type RelayedRunners = {
  /** The store's revision. */
  readonly asOf: number;
  /** Age of the newest read from the store that this rests on. */
  readonly ageMs: number;
} & (
  | { readonly type: "list"; readonly runners: readonly GatewayRunner[] }
  | { readonly type: "changes"; readonly changes: readonly RunnerChange[] }
);
