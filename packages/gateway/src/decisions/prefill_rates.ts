/** Of the data sheets: an engine that does nothing else reads so fast. */
const SHEET_TOKENS_PER_MS = 14;
/** An engine that also writes reads slower, but hardly below this. */
const MIN_TOKENS_PER_MS = 3.5;
const NEWEST_WEIGHT = 0.05;
/** First tokens of shorter prompts tell little. */
const MIN_TOKENS = 500;

/**
 * How fast the engines of each service read prompts, learned from the times of
 * first tokens: prompts are read in chunks between the tokens of other requests,
 * so that a busy engine is far below its data sheet.
 */
export class PrefillRates {
  readonly #rates = new Map<string, number>();

  /** Records that prompts of `tokens` in total took `tookMs` to be read. */
  record(serviceId: string, tokens: number, tookMs: number): void {
    // Also returns for NaN.
    if (tokens < MIN_TOKENS || !(tookMs > 0)) return;
    const rate = Math.min(
      SHEET_TOKENS_PER_MS,
      Math.max(MIN_TOKENS_PER_MS, tokens / tookMs),
    );
    const known = this.#rates.get(serviceId) ?? rate;
    this.#rates.set(serviceId, known + (rate - known) * NEWEST_WEIGHT);
  }

  /** Prompt tokens in a millisecond. */
  find(serviceId: string): number {
    return this.#rates.get(serviceId) ?? SHEET_TOKENS_PER_MS;
  }
}
