import type { Refusal } from "../model/refusal.js";

/**
 * Returns the HTTP status of a refusal; 503 states that no runner has executed
 * the request.
 */
export function toRefusalStatus(refusal: Refusal): number {
  switch (refusal.type) {
    case "malformed":
      return 400;
    case "unknown_key":
      return 401;
    case "no_route":
      return 404;
    case "body_too_large":
      return 413;
    case "head_too_large":
      return 431;
    case "not_run":
      return 503;
    case "may_have_run":
      return 502;
    case "timed_out":
      return 504;
  }
}
