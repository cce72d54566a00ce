import type { GatewayRunner } from "./gateway_runner.js";
import type { KvCacheRef } from "./kv_cache_ref.js";

/** A copy of a run's KV cache that follows the run on another runner. */
export interface RunBackup {
  /** Runner that holds the copy. */
  readonly runner: GatewayRunner;
  readonly cacheRef: KvCacheRef;
}
