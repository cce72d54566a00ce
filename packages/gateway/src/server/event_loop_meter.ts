import { monotonicMs } from "@jujubeladder/utils";

const TICK_MS = 50;
const WINDOW_MS = 60_000;

/**
 * Measures how long the event loop is held up, by its machine or by its own
 * work. A process that is held up handles signals late.
 */
export class EventLoopMeter {
  #lastTickAtMs = monotonicMs();
  #tickBeforeAtMs = this.#lastTickAtMs;
  #windowBeganAtMs = this.#lastTickAtMs;
  #windowMaxMs = 0;
  #previousMaxMs = 0;
  #timer: NodeJS.Timeout | undefined;

  start(): void {
    const nowMs = monotonicMs();
    this.#lastTickAtMs = this.#tickBeforeAtMs = this.#windowBeganAtMs = nowMs;
    this.#timer = setInterval(() => {
      this.tick();
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
  get earliestSignalAtMs(): number {
    return this.#tickBeforeAtMs;
  }

  /** The longest delay of the last minute at least, and of two at most, in ms. */
  get maxDelayMs(): number {
    return Math.max(this.#previousMaxMs, this.#windowMaxMs, this.#delayMs);
  }

  /** Records the delay of a tick; `start` calls it every 50 ms. */
  tick(): void {
    const nowMs = monotonicMs();
    this.#windowMaxMs = Math.max(this.#windowMaxMs, this.#delayMs);
    this.#tickBeforeAtMs = this.#lastTickAtMs;
    this.#lastTickAtMs = nowMs;
    if (nowMs - this.#windowBeganAtMs < WINDOW_MS) return;
    this.#previousMaxMs = this.#windowMaxMs;
    this.#windowMaxMs = 0;
    this.#windowBeganAtMs = nowMs;
  }

  get #delayMs(): number {
    return Math.max(0, monotonicMs() - this.#lastTickAtMs - TICK_MS);
  }
}
