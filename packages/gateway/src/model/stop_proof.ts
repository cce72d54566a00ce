/**
 * Why a run no longer executes on its source. The end of its connection is no
 * proof, whoever closed or reset it: it tells of the connection, and an engine
 * may continue a run whose connection has closed.
 */
export type StopProof =
  /** The source answered an order to stop with the handle of the run's cache. */
  | "stop_answered"
  /** The source, which had started the run, has no such run any more. */
  | "no_such_run"
  /** The source's process has ended, as its address and the store show. */
  | "process_ended";
