import type { Outcome } from "./outcome.js";

/** An event of a generation's stream; the last is `finished` or `failed`. */
export type GenerationEvent =
  | {
      readonly type: "token";
      readonly text: string;
      readonly offset: number;
      readonly handle: string;
    }
  | {
      readonly type: "finished";
      readonly finishReason: string;
      readonly tokenCount: number;
    }
  | {
      readonly type: "failed";
      readonly outcome: Outcome;
      readonly reason: string;
      readonly sentTokens: number;
      readonly retryAfterMs?: number;
    };
