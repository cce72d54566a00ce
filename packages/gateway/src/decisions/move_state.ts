import type { GatewayRunner } from "../model/gateway_runner.js";
import type { KeptMemory } from "../model/kept_memory.js";

/** Where the move of one run away from its runner stands. */
export type MoveState =
  | { readonly type: "resting" }
  /** No runner has room now; one is looked for again. */
  | { readonly type: "seeking"; readonly tries: number }
  /** The memory is being copied while the run goes on. */
  | {
      readonly type: "copying";
      readonly target: GatewayRunner;
      /** Copies and searches that came to nothing. */
      readonly tries: number;
    }
  /** A copy exists; the run goes on until its runner is about to leave. */
  | {
      readonly type: "copied";
      readonly target: GatewayRunner;
      readonly memory: KeptMemory;
    }
  /** The run is being stopped and the rest copied. */
  | {
      readonly type: "stopping";
      readonly target: GatewayRunner;
      /** The copy that was made while the run went on. */
      readonly memory: KeptMemory;
    }
  /** The run has stopped; it goes on at `runner` from `memory`. */
  | {
      readonly type: "stopped";
      readonly runner: GatewayRunner;
      readonly memory: KeptMemory;
    }
  | { readonly type: "given_up"; readonly reason: string };
