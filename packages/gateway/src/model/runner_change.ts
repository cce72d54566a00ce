import type { GatewayRunner } from "./gateway_runner.js";

/** One change of the list of runners. */
export type RunnerChange =
  | { readonly type: "put"; readonly runner: GatewayRunner }
  | { readonly type: "removed"; readonly runnerId: string };
