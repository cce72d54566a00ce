import type { ConfigDocument } from "@jujubeladder/types";

const MINUTE_MS = 60_000;
const SETTLE_MS = 2_000;
const WINDOW_SHARE = 0.2;
// Slots so much longer than the rate asks for keep two orders apart even
// when one is sent at the end of its window and the next at the start.
const SLOT_STRETCH = 1 / (1 - WINDOW_SHARE);

/**
 * When each target of a document may be ordered. Slots follow from the
 * document alone, so that instances keep under the weight store's rate
 * without talking: target k of n has slots k, k + n, k + 2n and so on.
 */
export class OrderSchedule {
  readonly #startMs: number;
  readonly #intervalMs: number;
  readonly #count: number;

  constructor(document: ConfigDocument) {
    this.#intervalMs =
      (SLOT_STRETCH * MINUTE_MS) / document.weightStoreLoadsPerMinute;
    // Every instance must have the revision before the first order.
    this.#startMs = document.publishedAtMs + SETTLE_MS;
    this.#count = Math.max(1, document.targets.length);
  }

  /** True once the first slot of a target has come. */
  hasBegun(index: number, wallClockMs: number): boolean {
    return wallClockMs >= this.#startMs + index * this.#intervalMs;
  }

  /** True while an order to the target may be sent. */
  isOpen(index: number, wallClockMs: number): boolean {
    const sinceMs = wallClockMs - this.#startMs - index * this.#intervalMs;
    if (sinceMs < 0) return false;
    const cycleMs = this.#count * this.#intervalMs;
    return sinceMs % cycleMs < this.#intervalMs * WINDOW_SHARE;
  }
}
