import type { GatewayRunner } from "./gateway_runner.js";
import type { RunnerChange } from "./runner_change.js";
import type { StorePosition } from "./store_position.js";

/** The list of runners, or changes to it, as read by a store reader. */
export type RunnerListUpdate = {
  /** The store's position. */
  readonly asOf: StorePosition;
  /** Age of the newest store read that this is based on. */
  readonly ageMs: number;
} & (
  | { readonly type: "list"; readonly runners: readonly GatewayRunner[] }
  | { readonly type: "changes"; readonly changes: readonly RunnerChange[] }
);
