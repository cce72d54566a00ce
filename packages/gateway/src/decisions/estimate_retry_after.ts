/** Least time; a place seldom becomes free sooner. */
const LEAST_MS = 200;
/** Most time; callers that wait longer come back too late to be served. */
const MOST_MS = 3_000;

/**
 * Time after which a refused caller should come back: the time that those who
 * wait need at the rate at which places become free, spread by a random part
 * so that callers do not return together.
 */
export function estimateRetryAfter(load: {
  readonly waitingCount: number;
  readonly placesPerSecond: number;
  /** From 0 to 1. */
  readonly random: number;
}): number {
  const rate = Math.max(load.placesPerSecond, 1);
  const drainMs = ((load.waitingCount + 1) / rate) * 1_000;
  const spread = 1 + load.random / 2;
  return Math.min(MOST_MS, Math.max(LEAST_MS, drainMs) * spread);
}
