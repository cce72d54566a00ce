import type { Outcome, SubmissionResult } from "@jujubeladder/types";

/** A result without an answer of the service, such as not_run. */
export function makeResult(outcome: Outcome, reason: string): SubmissionResult {
  return {
    outcome,
    reason,
    statusCode: 0,
    contentType: "",
    body: new Uint8Array(),
  };
}
