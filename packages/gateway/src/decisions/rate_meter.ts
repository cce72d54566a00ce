import { monotonicMs } from "@jujubeladder/utils";

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
    const sinceMs = monotonicMs() - WINDOW_MS;
    const keep = this.#atMs.findIndex((atMs) => atMs >= sinceMs);
    this.#atMs.splice(0, keep === -1 ? this.#atMs.length : keep);
  }
}
