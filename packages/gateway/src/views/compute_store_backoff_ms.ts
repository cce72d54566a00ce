/** Backoff after the first failed read. */
const INITIAL_BACKOFF_MS = 40;
/** Low enough to notice the end of an outage well within a second. */
const MAX_BACKOFF_MS = 320;

/** Exponential backoff with jitter after a number of failed store reads. */
export function computeStoreBackoffMs(failures: number): number {
  const capMs = Math.min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** failures);
  return capMs * (0.5 + Math.random() / 2);
}
