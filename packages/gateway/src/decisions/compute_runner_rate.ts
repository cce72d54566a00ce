import type { SharedRateLimit } from "../model/shared_rate_limit.js";

/** A runner that states 0 is still asked now and then whether that holds. */
const MIN_REQUESTS_PER_SECOND = 0.25;
/** After the end of a limit the rate doubles in this time. */
const DOUBLING_MS = 500;
const RECOVERY_MS = 2_000;

/**
 * The rate, in requests per second, at which all instances together may send to a
 * runner; undefined if it is not limited. After the end of a limit it rises for
 * two seconds, so that a runner that has just recovered is not flooded.
 */
export function computeRunnerRate(
  limit: SharedRateLimit | undefined,
): number | undefined {
  if (!limit) return undefined;
  const { ageMs, hasEnded } = limit;
  const rate = Math.max(limit.requestsPerSecond, MIN_REQUESTS_PER_SECOND);
  if (!hasEnded) return rate;
  return ageMs < RECOVERY_MS ? rate * 2 ** (ageMs / DOUBLING_MS) : undefined;
}
