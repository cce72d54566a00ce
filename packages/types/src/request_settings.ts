/** Settings that apply to one request; exceptions may override each. */
export interface RequestSettings {
  readonly maxAttempts: number;
  readonly retryBudgetPercent: number;
  readonly silenceMs: number;
  readonly resumeWindowMs: number;
  readonly queueTimeoutMs: number;
  readonly requestTimeoutMs: number;
  readonly maxTokens: number;
  readonly admissionQuantile: number;
  readonly maxTeamShare: number;
}
