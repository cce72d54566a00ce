import type { RequestContext } from "../relay/request_context.js";
import type { HttpCallerResponse } from "./http_caller_response.js";

/** A request that has arrived and is not finished. */
export interface ActiveRequest {
  /** Arrival time on the monotonic clock. */
  readonly receivedAtMs: number;
  readonly response: HttpCallerResponse;
  /** Set once the request has been admitted. */
  context?: RequestContext;
}
