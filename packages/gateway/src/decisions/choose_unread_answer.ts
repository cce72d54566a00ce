/** Time without a byte taken after which an answer counts as stalled. */
const STALL_MS = 1_000;

/** A connection with an answer, as far as this decision depends on it. */
interface AnsweredConnection {
  /** Bytes of answers that the caller has not taken yet. */
  readonly untakenBytes: number;
  /** Time since it last took any. */
  readonly stalledMs: number;
}

/**
 * Chooses the connection that is closed where answers that callers do not take hold
 * too much memory, or none: the largest of those that have stalled, else the largest.
 */
export function chooseUnreadAnswer<Connection extends AnsweredConnection>(
  connections: Iterable<Connection>,
): Connection | undefined {
  let best: Connection | undefined;
  for (const connection of connections) {
    if (connection.untakenBytes === 0) continue;
    if (!best || isWorse(connection, best)) best = connection;
  }
  return best;
}

function isWorse(left: AnsweredConnection, right: AnsweredConnection): boolean {
  const isStalled = left.stalledMs >= STALL_MS;
  if (isStalled !== right.stalledMs >= STALL_MS) return isStalled;
  return left.untakenBytes > right.untakenBytes;
}
