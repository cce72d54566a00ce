import { monotonicMs } from "@jujubeladder/utils";
import { dropBefore } from "./drop_before.js";

/** Bound on arrivals at a service beyond the first of each request. */
interface RetryBound {
  /** Extra arrivals for each request. */
  readonly ratio: number;
  /** Extra arrivals of the whole fleet in any window, beside the ratio. */
  readonly fleetSlack: number;
  readonly windowMs: number;
}

interface Counts {
  readonly requestsAtMs: number[];
  readonly extrasAtMs: number[];
}

/**
 * This instance's part of the fleet's retries: its own requests times the
 * ratio, and an equal share of the slack. No instance draws on what others
 * might leave, so the sum holds without messages.
 */
export class RetryAllowance {
  readonly #bound: RetryBound;
  readonly #countInstances: () => number;
  readonly #byService = new Map<string, Counts>();

  constructor(bound: RetryBound, countInstances: () => number) {
    this.#bound = bound;
    this.#countInstances = countInstances;
  }

  noteRequest(serviceId: string): void {
    this.#countsOf(serviceId).requestsAtMs.push(monotonicMs());
  }

  /** Takes one extra arrival; false when none is left in the window. */
  tryTake(serviceId: string): boolean {
    const { requestsAtMs, extrasAtMs } = this.#countsOf(serviceId);
    const share = this.#bound.fleetSlack / Math.max(1, this.#countInstances());
    const allowed = requestsAtMs.length * this.#bound.ratio + share;
    if (extrasAtMs.length + 1 > allowed) return false;
    extrasAtMs.push(monotonicMs());
    return true;
  }

  #countsOf(serviceId: string): Counts {
    const counts = this.#byService.get(serviceId) ?? {
      requestsAtMs: [],
      extrasAtMs: [],
    };
    this.#byService.set(serviceId, counts);
    const sinceMs = monotonicMs() - this.#bound.windowMs;
    dropBefore(counts.requestsAtMs, sinceMs);
    dropBefore(counts.extrasAtMs, sinceMs);
    return counts;
  }
}
