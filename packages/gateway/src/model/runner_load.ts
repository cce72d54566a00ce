/** Load of the requests placed on a runner. */
export interface RunnerLoad {
  readonly requests: number;
  /** KV cache that the requests will need when they end. */
  readonly peakTokens: number;
  /** Prompt tokens that still need prefill. */
  readonly unreadTokens: number;
}
