/** Attempts beyond the first of each request, within one window. */
export interface RetryBudgetUse {
  readonly spent: number;
  readonly allowed: number;
}
