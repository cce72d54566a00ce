import type { Outcome } from "@jujubeladder/types";

/** An error as a caller sees it. */
export interface ApiError {
  readonly statusCode: number;
  readonly type: string;
  readonly message: string;
  /** What is known to have run; `not_run` when left out. */
  readonly outcome?: Outcome;
  readonly retryAfterMs?: number | undefined;
}
