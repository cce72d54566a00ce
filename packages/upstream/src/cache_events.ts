/** A prefix that an engine has cached or dropped. */
interface CacheEvent {
  readonly sequence: number;
  readonly type: "stored" | "evicted";
  readonly prefixKey: string;
}

/** Cache events of an engine; they come late, and some never. */
export interface CacheEvents {
  readonly lastSequence: number;
  readonly events: readonly CacheEvent[];
}
