/**
 * Why a run no longer executes on its source. What this instance did itself
 * (closing the connection, a timeout, an answer that it could not read) is no
 * proof: an engine may continue a run whose connection has closed.
 */
export type StopProof =
  /** The source answered an order to stop with the handle of the run's cache. */
  | "stop_answered"
  /** The source, which had started the run, has no such run any more. */
  | "no_such_run"
  /** The source ended or reset the run's stream. */
  | "stream_ended"
  /** The stream has ended and nothing listens at the source's address. */
  | "connection_refused";
