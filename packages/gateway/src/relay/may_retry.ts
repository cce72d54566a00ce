import type { RetryPolicy } from "../model/retry_policy.js";

/**
 * True if a request may be retried on another runner after an attempt that may
 * have executed it.
 */
export function mayRetry(policy: RetryPolicy): boolean {
  switch (policy.type) {
    case "idempotent":
      return true;
    case "at_most_once":
      return false;
    case "stream":
      return policy.isResumable;
  }
}
