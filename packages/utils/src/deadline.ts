import { monotonicMs } from "./monotonic_ms.js";

/** A point on the monotonic clock by which work must be done. */
export class Deadline {
  readonly #atMs: number;

  constructor(timeoutMs: number) {
    this.#atMs = monotonicMs() + timeoutMs;
  }

  /** Milliseconds left; zero when the deadline has passed. */
  get remainingMs(): number {
    return Math.max(0, this.#atMs - monotonicMs());
  }

  get hasPassed(): boolean {
    return this.remainingMs === 0;
  }
}
