/** Bounds on what a caller may send, and how slowly. */
export interface CallerLimits {
  readonly maxBodyBytes: number;
  readonly headTimeoutMs: number;
  readonly idleTimeoutMs: number;
}
