import type { Outcome } from "@jujubeladder/types";
import type { ApiError } from "./api_error.js";

const DEFAULT_RETRY_AFTER_MS = 1_000;

/** Converts an outcome other than `completed` to an error response. */
export function toFailureError(
  outcome: Exclude<Outcome, "completed">,
  reason: string,
  retryAfterMs = DEFAULT_RETRY_AFTER_MS,
): ApiError {
  const error = { type: outcome, outcome, message: reason };
  switch (outcome) {
    case "not_run":
      return reason.includes("quarantined")
        ? { ...error, statusCode: 422, type: "quarantined" }
        : { ...error, statusCode: 503, retryAfterMs };
    case "may_have_run":
      return { ...error, statusCode: 504 };
    case "ran_incomplete":
      return { ...error, statusCode: 502 };
  }
}
