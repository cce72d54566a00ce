/** A connection that is used again soon is no candidate. */
const MIN_IDLE_MS = 1_000;

/** A caller's connection, as far as this decision depends on it. */
interface EvictableConnection {
  /** A request that has arrived whole is in progress. */
  readonly isServing: boolean;
  /** Requests that are finished, however they ended. */
  readonly servedCount: number;
  readonly idleMs: number;
}

/**
 * Chooses the connection that is closed for a new one, or none: the longest idle
 * of those that have finished no request, else the longest idle. The load
 * that it answers is a crowd that opens connections and leaves them open.
 */
export function chooseEvictedConnection<Connection extends EvictableConnection>(
  connections: Iterable<Connection>,
): Connection | undefined {
  let best: Connection | undefined;
  for (const connection of connections) {
    if (connection.isServing || connection.idleMs < MIN_IDLE_MS) continue;
    const isUnserved = connection.servedCount === 0;
    const bestIsUnserved = best?.servedCount === 0;
    const isBetter =
      !best ||
      (isUnserved === bestIsUnserved
        ? connection.idleMs > best.idleMs
        : isUnserved);
    if (isBetter) best = connection;
  }
  return best;
}
