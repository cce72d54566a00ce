/** A runner's rate limit, as instances tell it to each other. */
export interface SharedRateLimit {
  readonly incarnationId: string;
  /** Requests per second from all instances together. */
  readonly requestsPerSecond: number;
  /** How long ago the runner stated it, or ended it. */
  readonly ageMs: number;
  readonly hasEnded: boolean;
}
