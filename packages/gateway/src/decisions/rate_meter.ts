import { monotonicMs } from "@jujubeladder/utils";
import { dropBefore } from "./drop_before.js";

/** Span over which events are counted. */
const WINDOW_MS = 2_000;

/** Events a second over the last seconds. */
export class RateMeter {
  readonly #atMs: number[] = [];

  note(): void {
    this.#atMs.push(monotonicMs());
    this.#forget();
  }

  get perSecond(): number {
    this.#forget();
    return (this.#atMs.length * 1_000) / WINDOW_MS;
  }

  #forget(): void {
    dropBefore(this.#atMs, monotonicMs() - WINDOW_MS);
  }
}
