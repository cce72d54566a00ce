/** A prefix stored in or evicted from the engine's prefix cache. */
export interface CacheEvent {
  readonly sequence: number;
  readonly type: "stored" | "evicted";
  readonly prefixKey: string;
}
