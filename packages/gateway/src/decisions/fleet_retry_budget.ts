import { monotonicMs } from "@jujubeladder/utils";
import { dropBefore } from "./drop_before.js";
import type { RetryBooking } from "./retry_booking.js";
import type { RetryBudgetUse } from "./retry_budget_use.js";
import type { RetryKind } from "./retry_kind.js";

/**
 * Share of the budget that retries leave to resumptions: a refused retry can be
 * sent again by its caller, a stream that can't resume is lost.
 */
const RESUMPTION_RESERVE = 0.25;

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
  readonly byKind: Readonly<Record<RetryKind, Repeats>>;
}

/** Attempts beyond the first of their request. */
interface Repeats {
  readonly sentAtMs: number[];
  /** Booked and not sent yet. */
  bookedCount: number;
}

/**
 * This instance's share of a fleet-wide retry budget, per service: the ratio
 * applied to its own requests plus an equal share of the slack. No instance
 * uses budget that others leave over, so the fleet stays within its limits
 * without coordination.
 */
export class FleetRetryBudget {
  readonly #limits: RetryLimits;
  readonly #countInstances: () => number | undefined;
  readonly #readClockMs: () => number;
  readonly #slackFromMs: number;
  readonly #byService = new Map<string, Attempts>();

  /**
   * Unless the fleet starts for the first time, an earlier life of this instance
   * may have spent its share of the slack within the window. The share is not
   * known, and so not used, while `countInstances` returns undefined.
   */
  constructor(
    limits: RetryLimits,
    countInstances: () => number | undefined,
    {
      isFirstStart,
      readClockMs = monotonicMs,
    }: {
      readonly isFirstStart: boolean;
      readonly readClockMs?: () => number;
    },
  ) {
    this.#limits = limits;
    this.#countInstances = countInstances;
    this.#readClockMs = readClockMs;
    this.#slackFromMs = readClockMs() + (isFirstStart ? 0 : limits.windowMs);
  }

  recordRequest(serviceId: string): void {
    this.#attemptsOf(serviceId).requestsAtMs.push(this.#readClockMs());
  }

  /**
   * Books an attempt beyond the first of its request; undefined if the window's
   * budget does not allow it.
   */
  book(serviceId: string, kind: RetryKind): RetryBooking | undefined {
    const { spent, allowed } = this.getUse(serviceId);
    const repeats = this.#attemptsOf(serviceId).byKind[kind];
    if (spent + 1 > allowed) return undefined;
    const limit = kind === "retry" ? limitRetries(allowed) : allowed;
    if (countSpent(repeats) + 1 > limit) return undefined;
    repeats.bookedCount += 1;
    let isOpen = true;
    const close = () => {
      if (isOpen) repeats.bookedCount -= 1;
      isOpen = false;
    };
    return {
      recordSent: () => {
        if (isOpen) repeats.sentAtMs.push(this.#readClockMs());
        close();
      },
      release: close,
    };
  }

  /** The service's budget in the window that ends now. */
  getUse(serviceId: string): RetryBudgetUse {
    const { requestsAtMs, byKind } = this.#attemptsOf(serviceId);
    return {
      spent: countSpent(byKind.retry) + countSpent(byKind.resumption),
      allowed: requestsAtMs.length * this.#limits.ratio + this.#slackShare,
    };
  }

  /** The services with requests or repeats within the window. */
  listServices(): readonly string[] {
    this.#forgetIdle();
    return [...this.#byService.keys()];
  }

  get #slackShare(): number {
    const instanceCount = this.#countInstances();
    if (instanceCount === undefined || this.#readClockMs() < this.#slackFromMs)
      return 0;
    return this.#limits.fleetSlack / Math.max(1, instanceCount);
  }

  #attemptsOf(serviceId: string): Attempts {
    const known = this.#byService.get(serviceId);
    if (known) {
      this.#dropOld(known);
      return known;
    }
    // Configurations drop services and add others.
    this.#forgetIdle();
    const attempts = {
      requestsAtMs: [],
      byKind: {
        retry: { sentAtMs: [], bookedCount: 0 },
        resumption: { sentAtMs: [], bookedCount: 0 },
      },
    };
    this.#byService.set(serviceId, attempts);
    return attempts;
  }

  #forgetIdle(): void {
    for (const [serviceId, attempts] of this.#byService) {
      this.#dropOld(attempts);
      const { requestsAtMs, byKind } = attempts;
      const spent = countSpent(byKind.retry) + countSpent(byKind.resumption);
      if (requestsAtMs.length + spent === 0) this.#byService.delete(serviceId);
    }
  }

  #dropOld({ requestsAtMs, byKind }: Attempts): void {
    const sinceMs = this.#readClockMs() - this.#limits.windowMs;
    dropBefore(requestsAtMs, sinceMs);
    dropBefore(byKind.retry.sentAtMs, sinceMs);
    dropBefore(byKind.resumption.sentAtMs, sinceMs);
  }
}

function countSpent({ sentAtMs, bookedCount }: Repeats): number {
  return sentAtMs.length + bookedCount;
}

// A small share allows a retry all the same.
function limitRetries(allowed: number): number {
  return Math.max(1, allowed * (1 - RESUMPTION_RESERVE));
}
