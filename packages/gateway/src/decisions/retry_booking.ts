/** One attempt beyond the first of its request, held in the retry budget. */
export interface RetryBooking {
  /** Counts the attempt in the window that begins now. */
  recordSent(): void;
  /** Returns the budget, unless the attempt has been sent. */
  release(): void;
}
