import { monotonicMs } from "@jujubeladder/utils";

const TICK_MS = 50;

/**
 * Tells for how long a signal may have waited. A process that is held up, by
 * its machine or by its own work, handles signals late.
 */
export class SignalWaitMeter {
  #lastTickAtMs = monotonicMs();
  #tickBeforeAtMs = this.#lastTickAtMs;
  #timer: NodeJS.Timeout | undefined;

  start(): void {
    this.#lastTickAtMs = this.#tickBeforeAtMs = monotonicMs();
    this.#timer = setInterval(() => {
      this.#tickBeforeAtMs = this.#lastTickAtMs;
      this.#lastTickAtMs = monotonicMs();
    }, TICK_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /**
   * The earliest time at which a signal that is handled now can have been sent,
   * on the monotonic clock. One sent before the tick before the last would have
   * been handled between these two, as signals are between any two timers.
   */
  get earliestSentAtMs(): number {
    return this.#tickBeforeAtMs;
  }
}
