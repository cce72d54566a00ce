import type { GatewayRunner } from "./gateway_runner.js";

/** A change to the list of runners. */
export type RunnerChange =
  | { readonly type: "put"; readonly runner: GatewayRunner }
  | { readonly type: "removed"; readonly runnerId: string };
