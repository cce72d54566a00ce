/** Settings that apply to one request; exceptions may override each of them. */
export interface RequestSettings {
  readonly maxAttempts: number;
  /** Retries allowed, as a percentage of first attempts. */
  readonly retryBudgetPercent: number;
  /** Longest time without data on a runner's stream before it times out. */
  readonly silenceMs: number;
  /** Time within which a broken stream may be resumed at its runner. */
  readonly resumeWindowMs: number;
  readonly queueTimeoutMs: number;
  readonly requestTimeoutMs: number;
  readonly maxTokens: number;
  /** Quantile of the estimated token use that must fit at admission. */
  readonly admissionQuantile: number;
  /** Largest share of the queue that one team may fill, from 0 to 1. */
  readonly maxTeamShare: number;
}
