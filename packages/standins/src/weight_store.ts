const MINUTE_MS = 60_000;

/** A rate-limited weight store that records what it served and refused. */
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

  /** Serves a load, or refuses one that comes too soon after the last. */
  tryLoad(): boolean {
    const nowMs = Date.now();
    const lastMs = this.#servedAtMs.at(-1) ?? 0;
    // Loads may come a tenth of an interval early: clocks are not exact.
    const intervalMs = (0.9 * MINUTE_MS) / this.#loadsPerMinute;
    if (nowMs - lastMs < intervalMs) {
      this.#refusedCount += 1;
      return false;
    }
    this.#servedAtMs.push(nowMs);
    return true;
  }
}
