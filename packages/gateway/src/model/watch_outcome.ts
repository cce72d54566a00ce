/** Answer to a call that waits for changes. */
export type WatchOutcome<Value> =
  | { readonly type: "changed"; readonly value: Value; readonly asOf: number }
  | { readonly type: "unchanged"; readonly asOf: number }
  /** The history since the given revision has been dropped. */
  | { readonly type: "history_lost" };
