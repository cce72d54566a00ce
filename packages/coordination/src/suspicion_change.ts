/** What became known of a fingerprint, and how; for logs. */
export interface SuspicionChange {
  readonly fingerprint: string;
  /** `evicted`: displaced from the bounded table. */
  readonly status: "suspect" | "quarantined" | "cleared" | "evicted";
  /** Lost runner incarnations known by then, cleared ones included. */
  readonly lossCount: number;
  readonly source: "own" | "peer" | "limit";
}
