/** A prefix stored in or evicted from an engine's cache. */
interface CacheEvent {
  readonly sequence: number;
  readonly type: "stored" | "evicted";
  readonly prefixKey: string;
}

/** Cache events of an engine; they may arrive late or be lost. */
export interface CacheEvents {
  readonly lastSequence: number;
  readonly events: readonly CacheEvent[];
}
