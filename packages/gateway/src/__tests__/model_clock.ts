/** Runs events in the order of their times, in steps of one millisecond. */
export class ModelClock {
  readonly #events = new Map<number, (() => void)[]>();
  #nowMs = 0;

  get nowMs(): number {
    return this.#nowMs;
  }

  schedule(delayMs: number, act: () => void): void {
    const atMs = this.#nowMs + Math.max(1, Math.round(delayMs));
    const events = this.#events.get(atMs);
    if (events) events.push(act);
    else this.#events.set(atMs, [act]);
  }

  run(untilMs: number): void {
    while (this.#nowMs < untilMs) {
      this.#nowMs += 1;
      for (const act of this.#events.get(this.#nowMs) ?? []) act();
      this.#events.delete(this.#nowMs);
    }
  }
}
