/** A request that is under way on a connection. */
export interface Exchange {
  resume(): void;
  /** Closes the connection, on which the runner stops its work. */
  cancel(): void;
}
