import type { Outcome, SubmissionResult } from "@jujubeladder/types";

/** Creates a result that carries no response of the service. */
export function makeResult(outcome: Outcome, reason: string): SubmissionResult {
  return {
    outcome,
    reason,
    statusCode: 0,
    contentType: "",
    body: new Uint8Array(),
  };
}
