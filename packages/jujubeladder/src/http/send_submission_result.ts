import type { Response } from "express";
import type { SubmissionResult } from "@jujubeladder/types";
import { sendError } from "./send_error.js";
import { toFailureError } from "./to_failure_error.js";

/** Sends the response of a plain service, or a typed error. */
export function sendSubmissionResult(
  res: Response,
  result: SubmissionResult,
): void {
  res.setHeader("x-outcome", result.outcome);
  if (result.outcome !== "completed") {
    sendError(res, toFailureError(result.outcome, result.reason));
    return;
  }
  res
    .status(result.statusCode)
    .type(result.contentType)
    .send(Buffer.from(result.body));
}
