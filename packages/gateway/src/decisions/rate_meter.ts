import { monotonicMs } from "@jujubeladder/utils";
import { dropBefore } from "./drop_before.js";

const WINDOW_MS = 2_000;

/** Event rate over a sliding window. */
export class RateMeter {
  readonly #timesMs: number[] = [];

  record(): void {
    this.#timesMs.push(monotonicMs());
    this.#evictExpired();
  }

  get perSecond(): number {
    this.#evictExpired();
    return (this.#timesMs.length * 1_000) / WINDOW_MS;
  }

  #evictExpired(): void {
    dropBefore(this.#timesMs, monotonicMs() - WINDOW_MS);
  }
}
