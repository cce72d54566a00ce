import { monotonicMs } from "@jujubeladder/utils";
import { dropBefore } from "./drop_before.js";
import type { RetryBudgetUse } from "./retry_budget_use.js";

/** Limits the attempts at a service beyond the first of each request. */
interface RetryLimits {
  /** Retries per request. */
  readonly ratio: number;
  /** Retries of the whole fleet per window in addition to the ratio. */
  readonly fleetSlack: number;
  readonly windowMs: number;
}

interface Attempts {
  readonly requestsAtMs: number[];
  readonly retriesAtMs: number[];
}

/**
 * This instance's share of a fleet-wide retry budget, per service: the ratio
 * applied to its own requests plus an equal share of the slack. No instance
 * uses budget that others leave over, so the fleet stays within its limits
 * without coordination.
 */
export class FleetRetryBudget {
  readonly #limits: RetryLimits;
  readonly #countInstances: () => number;
  readonly #byService = new Map<string, Attempts>();

  constructor(limits: RetryLimits, countInstances: () => number) {
    this.#limits = limits;
    this.#countInstances = countInstances;
  }

  recordRequest(serviceId: string): void {
    this.#attemptsOf(serviceId).requestsAtMs.push(monotonicMs());
  }

  /** Reserves one retry; returns false if the window's budget is exhausted. */
  tryAcquire(serviceId: string): boolean {
    const { spent, allowed } = this.getUse(serviceId);
    if (spent + 1 > allowed) return false;
    this.#attemptsOf(serviceId).retriesAtMs.push(monotonicMs());
    return true;
  }

  /** The service's budget in the window that ends now. */
  getUse(serviceId: string): RetryBudgetUse {
    const { requestsAtMs, retriesAtMs } = this.#attemptsOf(serviceId);
    const share = this.#limits.fleetSlack / Math.max(1, this.#countInstances());
    return {
      spent: retriesAtMs.length,
      allowed: requestsAtMs.length * this.#limits.ratio + share,
    };
  }

  /** The services that requests were recorded for. */
  listServices(): readonly string[] {
    return [...this.#byService.keys()];
  }

  #attemptsOf(serviceId: string): Attempts {
    const attempts = this.#byService.get(serviceId) ?? {
      requestsAtMs: [],
      retriesAtMs: [],
    };
    this.#byService.set(serviceId, attempts);
    const sinceMs = monotonicMs() - this.#limits.windowMs;
    dropBefore(attempts.requestsAtMs, sinceMs);
    dropBefore(attempts.retriesAtMs, sinceMs);
    return attempts;
  }
}
