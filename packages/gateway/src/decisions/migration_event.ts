import type { CopyOutcome } from "../model/copy_outcome.js";
import type { GatewayRunner } from "../model/gateway_runner.js";
import type { SourceSigns } from "../model/source_signs.js";

/** An event in the migration of a run. */
export type MigrationEvent =
  | {
      readonly type: "source_leaves";
      /** Absent if no runner has capacity now. */
      readonly target?: GatewayRunner | undefined;
    }
  | {
      readonly type: "copy_answered";
      readonly source: GatewayRunner;
      readonly outcome: CopyOutcome;
      /** Another runner to try if the copy was refused. */
      readonly nextTarget?: GatewayRunner | undefined;
    }
  /** The search for a target was repeated after a pause. */
  | {
      readonly type: "target_search_done";
      readonly target?: GatewayRunner | undefined;
    }
  /** The source is about to exit; the run must stop there now. */
  | { readonly type: "time_to_stop" }
  /** The stream ended early, by either end. */
  | { readonly type: "stream_broke" }
  /** The source was looked up while it had not confirmed the stop. */
  | { readonly type: "source_seen"; readonly signs: SourceSigns }
  /** The source has not confirmed in time that the run stopped. */
  | { readonly type: "confirm_timed_out" }
  /** The run ended, or its caller disconnected. */
  | { readonly type: "run_ended" };
