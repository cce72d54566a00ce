import type { GatewayRunner } from "../model/gateway_runner.js";

/** Where a request goes, or why it must wait. */
export type PlacementChoice =
  | {
      readonly type: "placed";
      readonly runner: GatewayRunner;
      readonly score: number;
      readonly candidateCount: number;
    }
  /** Runners exist, but none has room. */
  | { readonly type: "held"; readonly candidateCount: number }
  | { readonly type: "no_runner" };
