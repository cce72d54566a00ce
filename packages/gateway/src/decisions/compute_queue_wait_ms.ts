/** Share of the latency target that a request may wait for capacity. */
const QUEUE_WAIT_SHARE = 0.9;

/**
 * Computes how long a request may wait for capacity. What waits longer would begin
 * late at its runner, and take the capacity from those that can still be in time.
 * The load that it answers is one above capacity: all that wait until their target
 * has passed are late, and so is all that comes behind them.
 */
export function computeQueueWaitMs(request: {
  readonly targetMs: number;
  readonly elapsedMs: number;
  /** Time that a runner may need until it begins; 0 if that is not known. */
  readonly firstTokenMs: number;
}): number {
  const { targetMs, elapsedMs, firstTokenMs } = request;
  return targetMs * QUEUE_WAIT_SHARE - firstTokenMs - elapsedMs;
}
