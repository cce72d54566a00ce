/** Slots are seldom freed sooner. */
const MIN_RETRY_AFTER_MS = 200;
/** Callers that wait longer return too late to be served. */
const MAX_RETRY_AFTER_MS = 3_000;

/**
 * Estimates, in milliseconds, when a refused caller should retry: the time to
 * drain the queue at the rate at which slots are freed, with random jitter so
 * that callers do not return at the same time.
 */
export function estimateRetryAfterMs(load: {
  readonly queuedCount: number;
  readonly freedSlotsPerSecond: number;
  /** Jitter, from 0 to 1. */
  readonly random: number;
}): number {
  const rate = Math.max(load.freedSlotsPerSecond, 1);
  const drainMs = ((load.queuedCount + 1) / rate) * 1_000;
  const spread = 1 + load.random / 2;
  return Math.min(
    MAX_RETRY_AFTER_MS,
    Math.max(MIN_RETRY_AFTER_MS, drainMs) * spread,
  );
}
