import type { Outcome } from "./outcome.js";

/** The final answer to a submission; the same for every resend. */
export interface SubmissionResult {
  readonly outcome: Outcome;
  readonly statusCode: number;
  readonly contentType: string;
  readonly body: Uint8Array;
  readonly reason: string;
}
