/** Milliseconds on the monotonic clock; a paused process does not stop it. */
export function monotonicMs(): number {
  return performance.now();
}
