/** Limits on the size and the pace of callers' requests. */
export interface CallerLimits {
  /** Limit on the names and values of a request's headers; undefined sets none. */
  readonly maxHeadBytes: number | undefined;
  readonly maxBodyBytes: number;
  readonly headTimeoutMs: number;
  readonly idleTimeoutMs: number;
}
