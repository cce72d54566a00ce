import type { RepeatPolicy } from "../model/repeat_policy.js";

/** True when a request that may have run may be sent to another runner. */
export function mayRepeat(repeat: RepeatPolicy): boolean {
  switch (repeat.type) {
    case "idempotent":
      return true;
    case "at_most_once":
      return false;
    case "stream":
      return repeat.isResumable;
  }
}
