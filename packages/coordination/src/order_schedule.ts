import type { ConfigDocument } from "@jujubeladder/types";

const MINUTE_MS = 60_000;
const PROPAGATION_DELAY_MS = 2_000;
const WINDOW_FRACTION = 0.2;
// Slots are longer than the rate requires, so that two orders keep their
// distance even if one is sent at the end of its window and the next one at the
// start of its own.
const SLOT_LENGTH_FACTOR = 1 / (1 - WINDOW_FRACTION);

/**
 * Time slots in which the order for each target of a document may be sent.
 * Slots depend only on the document, so that instances stay within the weight
 * store's rate without communication: target k of n has slots k, k + n, k + 2n
 * and so on.
 */
export class OrderSchedule {
  readonly #startMs: number;
  readonly #intervalMs: number;
  readonly #count: number;

  constructor(document: ConfigDocument) {
    this.#intervalMs =
      (SLOT_LENGTH_FACTOR * MINUTE_MS) / document.weightStoreLoadsPerMinute;
    // Leaves time for every instance to receive the revision before the first
    // order.
    this.#startMs = document.publishedAtMs + PROPAGATION_DELAY_MS;
    this.#count = Math.max(1, document.targets.length);
  }

  /** True once the target's first slot has started. */
  hasBegun(index: number, wallClockMs: number): boolean {
    return wallClockMs >= this.#startMs + index * this.#intervalMs;
  }

  /** True while an order for the target may be sent. */
  isOpen(index: number, wallClockMs: number): boolean {
    const sinceMs = wallClockMs - this.#startMs - index * this.#intervalMs;
    if (sinceMs < 0) return false;
    const cycleMs = this.#count * this.#intervalMs;
    return sinceMs % cycleMs < this.#intervalMs * WINDOW_FRACTION;
  }
}
