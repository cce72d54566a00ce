const MAX_SAVED_RETRIES = 10;

/**
 * Retries allowed as a share of first attempts. Every instance keeps its
 * own, so the fleet's retries stay within the same share without messages.
 */
export class RetryBudget {
  #savedRetries: number;

  constructor(initialRetries = MAX_SAVED_RETRIES / 2) {
    this.#savedRetries = initialRetries;
  }

  noteFirstAttempt(budgetPercent: number): void {
    this.#savedRetries = Math.min(
      MAX_SAVED_RETRIES,
      this.#savedRetries + budgetPercent / 100,
    );
  }

  /** Takes one retry; false when the budget is spent. */
  tryTake(): boolean {
    if (this.#savedRetries < 1) return false;
    this.#savedRetries -= 1;
    return true;
  }
}
