/** A generation that is about to be placed on a runner. */
export interface PlacementQuestion {
  readonly runnerId: string;
  readonly promptTokens: number;
  /** KV cache that it will need when it ends. */
  readonly needTokens: number;
  readonly isUrgent: boolean;
  /** How late it may begin by the unread prompts there. */
  readonly firstTokenLimitMs: number;
}
