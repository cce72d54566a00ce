/** Interval at which conditions are checked without a notification. */
const RECHECK_INTERVAL_MS = 150;

interface Waiter {
  readonly condition: () => boolean;
  readonly finish: () => void;
}

/** Lets tasks wait for a condition on state that others change. */
export class ChangeSignal {
  readonly #waiters = new Set<Waiter>();
  #recheckTimer: NodeJS.Timeout | undefined;

  /** Makes all current waiters recheck their condition. */
  notify(): void {
    for (const { condition, finish } of [...this.#waiters]) {
      if (condition()) finish();
    }
  }

  /** Waits until the condition holds, for at most `maxWaitMs`. */
  async waitUntil(condition: () => boolean, maxWaitMs: number): Promise<void> {
    if (maxWaitMs <= 0 || condition()) return;
    await new Promise<void>((resolve) => {
      const finish = () => {
        clearTimeout(timer);
        this.#remove(waiter);
        resolve();
      };
      const timer = setTimeout(finish, maxWaitMs);
      const waiter = { condition, finish };
      this.#add(waiter);
    });
  }

  #add(waiter: Waiter): void {
    this.#waiters.add(waiter);
    this.#recheckTimer ??= setInterval(() => {
      this.notify();
    }, RECHECK_INTERVAL_MS);
  }

  #remove(waiter: Waiter): void {
    this.#waiters.delete(waiter);
    if (this.#waiters.size > 0) return;
    clearInterval(this.#recheckTimer);
    this.#recheckTimer = undefined;
  }
}
