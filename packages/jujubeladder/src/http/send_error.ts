import type { Response } from "express";
import type { ApiError } from "./api_error.js";

/** Sends a typed error; its outcome states whether the request has run. */
export function sendError(res: Response, error: ApiError): void {
  if (error.retryAfterMs !== undefined) {
    res.setHeader("retry-after", Math.ceil(error.retryAfterMs / 1_000));
  }
  res.status(error.statusCode).json({
    error: {
      type: error.type,
      message: error.message,
      outcome: error.outcome ?? "not_run",
    },
  });
}
