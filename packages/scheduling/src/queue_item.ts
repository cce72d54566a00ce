/** Properties of a queued request that the fair queue needs. */
export interface QueueItem {
  readonly request: {
    readonly teamId: string;
    readonly teamWeight: number;
    readonly isShort: boolean;
  };
  readonly queuedAtMs: number;
  readonly costTokens: number;
}
