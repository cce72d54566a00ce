/** First pause after a failed read. */
const FIRST_MS = 40;
/** Longest pause; an outage must be found to be over well within a second. */
const LONGEST_MS = 320;

/** Pause before the next read after a number of failed ones, with jitter. */
export function computeStoreBackoffMs(failures: number): number {
  const capMs = Math.min(LONGEST_MS, FIRST_MS * 2 ** failures);
  return capMs * (0.5 + Math.random() / 2);
}
