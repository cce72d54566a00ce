const MAX_PREFIXES = 256;

/** A prefix that an engine has cached or dropped. */
interface PrefixEvent {
  readonly sequence: number;
  readonly type: "stored" | "evicted";
  readonly prefixKey: string;
}

/**
 * Which prefixes a runner is thought to have cached, from events that come
 * late and with gaps. After a gap nothing older is believed: a missed
 * eviction would send requests where their prefix no longer is.
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
    // An engine that has restarted counts from the start again.
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
