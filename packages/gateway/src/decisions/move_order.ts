import type { GatewayRunner } from "../model/gateway_runner.js";

/** What the state of a move calls for. */
export type MoveOrder =
  | {
      readonly type: "copy";
      readonly target: GatewayRunner;
      /** Stop the run, then copy the rest. */
      readonly isFinal: boolean;
    }
  /** Copy, after the run has had time to begin. */
  | { readonly type: "copy_later"; readonly target: GatewayRunner }
  /** Raise `target_sought` after other work has had time to end. */
  | { readonly type: "seek_later" }
  /** Break the stream from the source, on which the run there stops. */
  | { readonly type: "cut_source" }
  /** Raise `time_to_stop` when the source is about to be gone. */
  | { readonly type: "wait_to_stop" };
