import type { Refusal } from "../model/refusal.js";

/** Another instance can serve the request at once. */
const OTHER_INSTANCE_RETRY_MS = 150;

/** Refuses a request that would outlast this instance. */
export function refuseWhileStopping(): Refusal {
  return {
    type: "not_run",
    reason: "this instance stops",
    retryAfterMs: OTHER_INSTANCE_RETRY_MS,
  };
}
