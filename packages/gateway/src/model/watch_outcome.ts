import type { StorePosition } from "./store_position.js";

/** Result of a long poll. */
export type WatchOutcome<Value> =
  | {
      readonly type: "changed";
      readonly value: Value;
      readonly asOf: StorePosition;
    }
  | { readonly type: "unchanged"; readonly asOf: StorePosition }
  /** The history since the given position is not available. */
  | { readonly type: "history_lost" };
