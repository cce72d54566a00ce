import type { Outcome } from "./outcome.js";

/** The final result of a submission; each resend gets the same one. */
export interface SubmissionResult {
  readonly outcome: Outcome;
  readonly statusCode: number;
  readonly contentType: string;
  readonly body: Uint8Array;
  readonly reason: string;
}
