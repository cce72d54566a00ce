import type { GatewayRunner } from "../model/gateway_runner.js";
import type { KvCacheRef } from "../model/kv_cache_ref.js";
import type { StopProof } from "../model/stop_proof.js";
import type { SourceContact } from "./source_contact.js";

/** State of the migration of one run away from its runner. */
export type MigrationState =
  | { readonly type: "idle" }
  /** No runner has capacity now; the search is repeated. */
  | { readonly type: "seeking"; readonly attempts: number }
  /** The KV cache is being copied while the run continues. */
  | {
      readonly type: "copying";
      readonly target: GatewayRunner;
      /** Failed copies and target searches. */
      readonly attempts: number;
    }
  /** A copy exists; the run continues until its runner is about to exit. */
  | {
      readonly type: "copied";
      readonly target: GatewayRunner;
      readonly cacheRef: KvCacheRef;
    }
  /** The run is being stopped and the remainder copied. */
  | {
      readonly type: "stopping";
      readonly target: GatewayRunner;
      /** The copy that was made while the run continued. */
      readonly cacheRef: KvCacheRef;
      /** Final copies that the source has failed to make. */
      readonly failedStops: number;
      /** False once the source is no longer asked to stop. */
      readonly isAsking: boolean;
    }
  /**
   * The stream is lost, but the source may still execute the run; it is asked
   * to stop.
   */
  | {
      readonly type: "confirming";
      readonly target: GatewayRunner;
      readonly cacheRef: KvCacheRef;
      readonly failedStops: number;
      readonly contact: SourceContact;
    }
  /** The run has stopped and can resume on `runner` from `cacheRef`. */
  | {
      readonly type: "stopped";
      readonly runner: GatewayRunner;
      readonly cacheRef: KvCacheRef;
      readonly proof: StopProof;
    }
  | { readonly type: "given_up"; readonly reason: string };
