/** Limits on the size and the pace of callers' requests. */
export interface CallerLimits {
  readonly maxBodyBytes: number;
  readonly headTimeoutMs: number;
  readonly idleTimeoutMs: number;
}
