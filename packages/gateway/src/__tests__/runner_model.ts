import type { GatewayRunner } from "../model/gateway_runner.js";

/** One process of a runner; `removed` is one that left without draining. */
export interface RunnerModel {
  readonly runner: GatewayRunner;
  phase: "live" | "draining" | "removed" | "dead";
  nextBeatMs: number;
  endsAtMs: number;
  /** It has not written yet since the store returned. */
  mustWrite: boolean;
  /** Since when the store lists it and the directory does not use it. */
  lostSinceMs: number | undefined;
  unlistedSinceMs: number;
}
