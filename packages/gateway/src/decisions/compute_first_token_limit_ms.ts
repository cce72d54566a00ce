/**
 * Share of the shortest target that the unread prompts of others may take, so
 * that an urgent request still begins in time behind them.
 */
const BACKLOG_SHARE = 0.5;
/** Share of its own time left that an urgent request may wait at a runner. */
const OWN_SHARE = 0.9;

/**
 * Computes how late, by the unread prompts at a runner, a request may begin there.
 * The load that it answers is a fleet whose runners are full of prompts that wait
 * to be read: placed there, requests of all kinds are late, and none of them can
 * be moved, ordered or refused any more. They wait in front of the runners
 * instead.
 */
export function computeFirstTokenLimitMs(request: {
  readonly isUrgent: boolean;
  /** Time until its latency target. */
  readonly targetLeftMs: number;
  /** The shortest latency target of the streams of the service. */
  readonly shortestTargetMs: number;
}): number {
  const { isUrgent, targetLeftMs, shortestTargetMs } = request;
  const backlogMs = shortestTargetMs * BACKLOG_SHARE;
  return isUrgent ? Math.max(backlogMs, targetLeftMs * OWN_SHARE) : backlogMs;
}
