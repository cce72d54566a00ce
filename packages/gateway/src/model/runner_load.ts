/** Work that instances have placed on a runner. */
export interface RunnerLoad {
  readonly requests: number;
  /** Memory that the requests will need when they end, in tokens. */
  readonly peakTokens: number;
  /** Prompt tokens that are still to be read before a first event. */
  readonly unreadTokens: number;
}
