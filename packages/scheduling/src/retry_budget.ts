const MAX_AVAILABLE_RETRIES = 10;

/**
 * Token bucket that limits retries to a share of first attempts. Each instance
 * keeps its own, so the limit holds across the fleet without coordination.
 */
export class RetryBudget {
  #availableRetries: number;

  constructor(initialRetries = MAX_AVAILABLE_RETRIES / 2) {
    this.#availableRetries = initialRetries;
  }

  recordFirstAttempt(budgetPercent: number): void {
    this.#availableRetries = Math.min(
      MAX_AVAILABLE_RETRIES,
      this.#availableRetries + budgetPercent / 100,
    );
  }

  /** Consumes one retry; false if the budget is exhausted. */
  tryAcquire(): boolean {
    if (this.#availableRetries < 1) return false;
    this.#availableRetries -= 1;
    return true;
  }
}
