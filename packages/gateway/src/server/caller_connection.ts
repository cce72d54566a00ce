/** A connection that a caller has opened. */
export interface CallerConnection {
  /** On the monotonic clock. */
  readonly openedAtMs: number;
  requestCount: number;
}
