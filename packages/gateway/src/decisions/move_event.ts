import type { CopyOutcome } from "../model/copy_outcome.js";
import type { GatewayRunner } from "../model/gateway_runner.js";

/** What can happen to a run that may have to move. */
export type MoveEvent =
  | {
      readonly type: "source_leaves";
      /** Absent when no runner has room now. */
      readonly target?: GatewayRunner | undefined;
    }
  | {
      readonly type: "copy_answered";
      readonly source: GatewayRunner;
      readonly outcome: CopyOutcome;
      /** Another runner to try, when the first one has no room. */
      readonly nextTarget?: GatewayRunner | undefined;
    }
  /** A target was looked for once more, after a pause. */
  | {
      readonly type: "target_sought";
      readonly target?: GatewayRunner | undefined;
    }
  /** The source is about to be gone; the run must stop there now. */
  | { readonly type: "time_to_stop" }
  /** The stream ended early, so the run no longer works at its source. */
  | { readonly type: "stream_broke" }
  /** The run ended, or its caller left. */
  | { readonly type: "run_ended" };
