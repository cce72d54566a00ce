const MAX_PREFIXES = 256;

/** A prefix stored in or evicted from an engine's cache. */
interface PrefixEvent {
  readonly sequence: number;
  readonly type: "stored" | "evicted";
  readonly prefixKey: string;
}

/**
 * Prefixes that a runner has cached, tracked from events that arrive late and
 * may be lost. A gap in the sequence clears the view, since a missed eviction
 * would route requests to a runner without their prefix.
 */
export class PrefixView {
  readonly #prefixes = new Set<string>();
  #lastSequence = 0;

  get lastSequence(): number {
    return this.#lastSequence;
  }

  has(prefixKey: string): boolean {
    return this.#prefixes.has(prefixKey);
  }

  apply(events: readonly PrefixEvent[], lastSequence: number): void {
    // A restarted engine numbers its events from the beginning.
    if (lastSequence < this.#lastSequence) this.#reset(0);
    for (const { sequence, type, prefixKey } of events) {
      if (sequence <= this.#lastSequence) continue;
      if (sequence > this.#lastSequence + 1) this.#reset(sequence - 1);
      this.#lastSequence = sequence;
      this.#prefixes.delete(prefixKey);
      if (type === "stored") this.#prefixes.add(prefixKey);
    }
    if (lastSequence > this.#lastSequence) this.#reset(lastSequence);
    const [oldest] = this.#prefixes;
    if (this.#prefixes.size > MAX_PREFIXES && oldest !== undefined) {
      this.#prefixes.delete(oldest);
    }
  }

  #reset(sequence: number): void {
    this.#prefixes.clear();
    this.#lastSequence = sequence;
  }
}
