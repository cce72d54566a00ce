import type { KvCacheRef } from "./kv_cache_ref.js";

/** Values that this instance adds to the head of a request to a runner. */
export interface AttemptHead {
  readonly runnerId: string;
  readonly teamId?: string | undefined;
  /** Time that is left until the request's deadline. */
  readonly remainingMs: number;
  /** Scheduling priority on the engine, from 0 (highest) to 9. */
  readonly enginePriority?: number | undefined;
  /** KV cache to resume from. */
  readonly continueFrom?: KvCacheRef | undefined;
  readonly lastEventId?: number | undefined;
  /** Runner that maintains a backup of the run's KV cache. */
  readonly backup?:
    { readonly host: string; readonly port: number } | undefined;
}
