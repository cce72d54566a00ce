import type { GatewayRunner } from "../model/gateway_runner.js";

/** Action that the caller of `advanceMigration` must perform. */
export type MigrationAction =
  | {
      readonly type: "copy";
      readonly target: GatewayRunner;
      /** Stop the run, then copy the remainder. */
      readonly isFinal: boolean;
    }
  /** Copy after a pause in which the run can start. */
  | { readonly type: "copy_later"; readonly target: GatewayRunner }
  /** Repeat the final copy after a pause. */
  | {
      readonly type: "copy_final_later";
      readonly target: GatewayRunner;
      readonly pauseMs: number;
    }
  /** Raise `target_search_done` after a pause in which other work can end. */
  | { readonly type: "find_target_later" }
  /**
   * Close the stream from the source if it does not end by itself shortly; the
   * run has stopped.
   */
  | { readonly type: "await_stream_end" }
  /** Raise `time_to_stop` when the source is about to exit. */
  | { readonly type: "wait_to_stop" };
