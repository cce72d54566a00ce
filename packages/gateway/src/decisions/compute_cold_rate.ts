/**
 * Standard deviations by which the number of requests in a second may exceed
 * its mean: a Poisson count does so about once in 10^9 seconds.
 */
const DEVIATIONS = 6;

/**
 * Returns the mean rate, per second, at which randomly spaced requests of a
 * fleet stay below `limit` in any second that is stretched to `windowS`.
 */
export function computeColdRate(limit: number, windowS: number): number {
  const root = (Math.sqrt(DEVIATIONS ** 2 + 4 * limit) - DEVIATIONS) / 2;
  return root ** 2 / windowS;
}
