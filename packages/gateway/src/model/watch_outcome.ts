/** Result of a long poll. */
export type WatchOutcome<Value> =
  | { readonly type: "changed"; readonly value: Value; readonly asOf: number }
  | { readonly type: "unchanged"; readonly asOf: number }
  /** The history since the given revision has been discarded. */
  | { readonly type: "history_lost" };
