import type { SubmissionResult as WireResult } from "@jujubeladder/protocol";
import type { Outcome, SubmissionResult } from "@jujubeladder/types";

/**
 * Parses a submission result from its protocol message. An unknown outcome is
 * read as `may_have_run`.
 */
export function toSubmissionResult(wire: WireResult): SubmissionResult {
  return {
    outcome: toOutcome(wire.outcome),
    statusCode: wire.statusCode,
    contentType: wire.contentType,
    body: wire.body,
    reason: wire.reason,
  };
}

function toOutcome(text: string): Outcome {
  switch (text) {
    case "completed":
    case "not_run":
    case "ran_incomplete":
      return text;
    default:
      return "may_have_run";
  }
}
