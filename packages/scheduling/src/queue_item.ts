/** What the fair queue must know of a request that waits. */
export interface QueueItem {
  readonly request: {
    readonly teamId: string;
    readonly teamWeight: number;
    readonly isShort: boolean;
  };
  readonly queuedAtMs: number;
  readonly costTokens: number;
}
