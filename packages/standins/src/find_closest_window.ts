/**
 * Returns the greatest share of the limit that repeats reach in any window, of
 * the requests in it, in the one before it or in the one half a window before
 * it, whichever has most. Times are ascending.
 */
export function findClosestWindow(
  times: {
    readonly requestsAtMs: readonly number[];
    readonly repeatsAtMs: readonly number[];
  },
  limits: {
    readonly ratio: number;
    readonly fleetSlack: number;
    readonly windowMs: number;
  },
): { readonly share: number; readonly count: number; readonly limit: number } {
  const { requestsAtMs, repeatsAtMs } = times;
  const { ratio, fleetSlack, windowMs } = limits;
  const countUntil = (list: readonly number[], endMs: number) =>
    lowerBound(list, endMs) - lowerBound(list, endMs - windowMs);
  let closest = { share: 0, count: 0, limit: fleetSlack };
  for (const atMs of repeatsAtMs) {
    // The window that ends just after this repeat.
    const endMs = atMs + 0.5;
    const requests = [0, windowMs / 2, windowMs].map((backMs) =>
      countUntil(requestsAtMs, endMs - backMs),
    );
    const limit = ratio * Math.max(...requests) + fleetSlack;
    const count = countUntil(repeatsAtMs, endMs);
    const share = count / limit;
    if (share > closest.share) closest = { share, count, limit };
  }
  return closest;
}

// Returns the number of values that are less than `value`.
function lowerBound(ascending: readonly number[], value: number): number {
  let from = 0;
  let to = ascending.length;
  while (from < to) {
    const middle = (from + to) >> 1;
    if ((ascending[middle] ?? 0) < value) from = middle + 1;
    else to = middle;
  }
  return from;
}
