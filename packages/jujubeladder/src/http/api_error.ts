import type { Outcome } from "@jujubeladder/types";

/** An error response to a caller. */
export interface ApiError {
  readonly statusCode: number;
  readonly type: string;
  readonly message: string;
  /** Whether the request has run, as far as known; `not_run` by default. */
  readonly outcome?: Outcome;
  readonly retryAfterMs?: number | undefined;
}
