const MINUTE_MS = 60_000;

/** A rate-limited weight store that counts loads served and refused. */
export class WeightStore {
  readonly #servedAtMs: number[] = [];
  #loadsPerMinute = 60;
  #refusedCount = 0;

  get truth(): { readonly served: number; readonly refused: number } {
    return { served: this.#servedAtMs.length, refused: this.#refusedCount };
  }

  setRate(loadsPerMinute: number): void {
    this.#loadsPerMinute = loadsPerMinute;
  }

  /** Returns false, and counts a refusal, when the rate limit is exceeded. */
  tryLoad(): boolean {
    const nowMs = Date.now();
    const lastMs = this.#servedAtMs.at(-1) ?? 0;
    // Tolerates loads that come 10 % early, as clocks are not exact.
    const intervalMs = (0.9 * MINUTE_MS) / this.#loadsPerMinute;
    if (nowMs - lastMs < intervalMs) {
      this.#refusedCount += 1;
      return false;
    }
    this.#servedAtMs.push(nowMs);
    return true;
  }
}
