import type { GatewayRunner } from "../model/gateway_runner.js";

/** Result of a placement: a runner, or the reason why there is none. */
export type PlacementChoice =
  | {
      readonly type: "placed";
      readonly runner: GatewayRunner;
      readonly score: number;
      readonly candidateCount: number;
    }
  /** Candidates exist, but none has capacity. */
  | { readonly type: "no_capacity"; readonly candidateCount: number }
  /** By the operator's word, the request may go to none of the runners. */
  | { readonly type: "not_allowed" }
  /** All runners that are left want no requests now. */
  | { readonly type: "all_paused" }
  /** All runners that are left limit their rate, and none has a permit now. */
  | { readonly type: "all_limited"; readonly opensInMs: number }
  /** No runner has the software version that began the stream. */
  | { readonly type: "no_software" }
  | { readonly type: "no_runner" };
