import type { Admission } from "./admission.js";
import type { SchedulingRequest } from "./scheduling_request.js";

/** A request waiting for placement, and the callback for its admission. */
export interface QueuedRequest {
  readonly request: SchedulingRequest;
  readonly queuedAtMs: number;
  readonly costTokens: number;
  readonly onAdmission: (admission: Admission) => void;
}
