import type { RatePermit } from "../model/rate_permit.js";

/** Permits of this time that were not asked for can still be granted. */
const MAX_CREDIT_MS = 500;
/**
 * For this long a new issuer grants at a lower rate, as some instances may still
 * ask its predecessor.
 */
const OVERLAP_MS = 3_000;
/** Share of the rate that is granted where another issuer may grant, too. */
const OVERLAP_SHARE = 0.5;
/** How far ahead permits go to runs that can't go on elsewhere. */
const MAX_ADVANCE_MS = 1_000;
const MAX_IDLE_MS = 60_000;
const MS_PER_SECOND = 1_000;

interface Schedule {
  /** When the next permit is due. */
  nextAtMs: number;
  readonly startedAtMs: number;
  askedAtMs: number;
}

/**
 * Issues permits to send to runners at the rates that they take, as the one
 * instance that does so for the whole fleet. A permit that is not due yet is
 * granted ahead to a request that can wait for it, so that requests are served in
 * the order in which their instances asked, whichever is nearer.
 */
export class RatePermitIssuer {
  /** By incarnation, least recently asked first. */
  readonly #schedules = new Map<string, Schedule>();

  issue(
    query: {
      readonly incarnationId: string;
      readonly requestsPerSecond: number;
      readonly maxWaitMs: number;
      readonly isResumption: boolean;
      /** Asked by an instance that the issuer does not answer. */
      readonly isSubstitute: boolean;
    },
    nowMs: number,
  ): RatePermit {
    const { incarnationId, requestsPerSecond } = query;
    const schedule = this.#find(incarnationId, nowMs);
    const isOverlap =
      query.isSubstitute || nowMs - schedule.startedAtMs < OVERLAP_MS;
    const rate = requestsPerSecond * (isOverlap ? OVERLAP_SHARE : 1);
    const intervalMs = MS_PER_SECOND / rate;
    const waitMs = Math.max(0, schedule.nextAtMs - nowMs);
    const isGranted = query.isResumption
      ? waitMs <= MAX_ADVANCE_MS
      : waitMs <= query.maxWaitMs;
    if (!isGranted) return { type: "refused", waitMs };
    schedule.nextAtMs =
      Math.max(schedule.nextAtMs, nowMs - MAX_CREDIT_MS) + intervalMs;
    return { type: "granted", waitMs: query.isResumption ? 0 : waitMs };
  }

  #find(incarnationId: string, nowMs: number): Schedule {
    const known = this.#schedules.get(incarnationId);
    const schedule = known ?? {
      nextAtMs: nowMs,
      startedAtMs: nowMs,
      askedAtMs: nowMs,
    };
    schedule.askedAtMs = nowMs;
    this.#schedules.delete(incarnationId);
    this.#schedules.set(incarnationId, schedule);
    if (!known) this.#evictIdle(nowMs);
    return schedule;
  }

  #evictIdle(nowMs: number): void {
    for (const [incarnationId, { askedAtMs }] of this.#schedules) {
      if (nowMs - askedAtMs < MAX_IDLE_MS) return;
      this.#schedules.delete(incarnationId);
    }
  }
}
