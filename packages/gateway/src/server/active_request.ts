import type { CallerResponse } from "../relay/caller_response.js";
import type { RequestContext } from "../relay/request_context.js";

/** A request that has arrived and is not finished. */
export interface ActiveRequest {
  /** Arrival time on the monotonic clock. */
  readonly receivedAtMs: number;
  readonly response: CallerResponse;
  /** Set once the request has been admitted. */
  context?: RequestContext;
}
