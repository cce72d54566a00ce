/** Milliseconds on the monotonic clock; goes on while a process is paused. */
export function monotonicMs(): number {
  return performance.now();
}
