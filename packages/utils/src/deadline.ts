import { monotonicMs } from "./monotonic_ms.js";

/** A deadline on the monotonic clock. */
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
