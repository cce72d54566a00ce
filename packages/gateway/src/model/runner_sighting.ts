import type { StorePosition } from "./store_position.js";

/**
 * How the store showed that a runner is registered: by an entry in a list,
 * which may be of any age, or by a change, which the runner wrote in that era.
 */
export interface RunnerSighting {
  readonly type: "listing" | "change";
  readonly asOf: StorePosition;
}
