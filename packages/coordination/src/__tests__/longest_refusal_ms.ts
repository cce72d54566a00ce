/** Refusals with less time between them belong together. */
const MAX_GAP_MS = 1_000;

/** Returns the longest time over which offers, in order of time, were refused. */
export function longestRefusalMs(
  offers: readonly { readonly atMs: number; readonly ok: boolean }[],
): number {
  let longestMs = 0;
  let fromMs: number | undefined;
  let lastMs = 0;
  for (const { atMs, ok } of offers) {
    if (ok) continue;
    if (fromMs === undefined || atMs - lastMs > MAX_GAP_MS) fromMs = atMs;
    lastMs = atMs;
    longestMs = Math.max(longestMs, lastMs - fromMs);
  }
  return longestMs;
}
