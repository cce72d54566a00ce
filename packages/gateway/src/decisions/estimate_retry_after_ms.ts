/** Slots are seldom freed sooner. */
const MIN_RETRY_AFTER_MS = 200;
/** Callers that wait longer return too late to be served. */
const MAX_RETRY_AFTER_MS = 3_000;
/** Callers return within this time after the end of a pause. */
const MAX_PAUSE_JITTER_MS = 2_000;

/**
 * Estimates, in milliseconds, when a refused caller should retry: the time to
 * drain the queue at the rate at which slots are freed, with random jitter so
 * that callers do not return at the same time. If all runners pause, or limit their
 * rate, none is of use before the first one opens, however long that takes.
 */
export function estimateRetryAfterMs(load: {
  readonly queuedCount: number;
  readonly freedSlotsPerSecond: number;
  /** Time until a runner ends its pause, if all runners pause. */
  readonly pauseEndsInMs?: number | undefined;
  /** Time until a permit can be asked for, if all runners limit their rate. */
  readonly permitInMs?: number | undefined;
  /** Jitter, from 0 to 1. */
  readonly random: number;
}): number {
  const { permitInMs } = load;
  const opensInMs =
    permitInMs === undefined
      ? load.pauseEndsInMs
      : Math.max(MIN_RETRY_AFTER_MS, permitInMs);
  if (opensInMs !== undefined) {
    const jitterMs = Math.min(MAX_PAUSE_JITTER_MS, opensInMs / 2);
    return opensInMs + load.random * Math.max(MIN_RETRY_AFTER_MS, jitterMs);
  }
  const rate = Math.max(load.freedSlotsPerSecond, 1);
  const drainMs = ((load.queuedCount + 1) / rate) * 1_000;
  const spread = 1 + load.random / 2;
  return Math.min(
    MAX_RETRY_AFTER_MS,
    Math.max(MIN_RETRY_AFTER_MS, drainMs) * spread,
  );
}
