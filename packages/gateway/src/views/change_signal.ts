import { monotonicMs, sleep } from "@jujubeladder/utils";

/** Interval at which waiters recheck their condition without a notification. */
const RECHECK_INTERVAL_MS = 150;

/** Lets tasks wait for a condition on state that others change. */
export class ChangeSignal {
  readonly #waiters = new Set<AbortController>();

  /** Makes all current waiters recheck their condition. */
  notify(): void {
    for (const waiter of [...this.#waiters]) waiter.abort();
  }

  /** Waits until the condition holds, for at most `maxWaitMs`. */
  async waitUntil(condition: () => boolean, maxWaitMs: number): Promise<void> {
    const endMs = monotonicMs() + maxWaitMs;
    for (;;) {
      const remainingMs = endMs - monotonicMs();
      if (condition() || remainingMs <= 0) return;
      const waiter = new AbortController();
      this.#waiters.add(waiter);
      await sleep(Math.min(RECHECK_INTERVAL_MS, remainingMs), waiter.signal);
      this.#waiters.delete(waiter);
    }
  }
}
