import type { Admission } from "./admission.js";
import type { SchedulingRequest } from "./scheduling_request.js";

/** A request that waits for a place, and whom to tell. */
export interface QueuedRequest {
  readonly request: SchedulingRequest;
  readonly queuedAtMs: number;
  readonly costTokens: number;
  readonly onAdmission: (admission: Admission) => void;
}
