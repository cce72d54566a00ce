const BASE_MS = 50;
const CAP_MS = 2_000;

/** Returns an exponential backoff delay with full jitter. */
export function computeBackoffMs(attempt: number): number {
  return Math.random() * Math.min(CAP_MS, BASE_MS * 2 ** attempt);
}
