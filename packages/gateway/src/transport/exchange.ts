/** A request in progress on a connection. */
export interface Exchange {
  /** Continues delivery after the sink has paused it. */
  resume(): void;
  /** Closes the connection, upon which the runner stops its work. */
  cancel(): void;
}
