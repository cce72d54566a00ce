import type { BreakCause } from "./break_cause.js";

/** An event of an engine's stream; `finished` and `broken` are the last. */
export type EngineEvent =
  | { readonly type: "token"; readonly offset: number; readonly text: string }
  | { readonly type: "preempted" }
  | {
      readonly type: "finished";
      readonly finishReason: string;
      readonly tokenCount: number;
    }
  | {
      readonly type: "broken";
      readonly reason: string;
      readonly cause: BreakCause;
    };
