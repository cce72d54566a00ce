import type { GatewayRunner } from "../model/gateway_runner.js";
import type { MoveState } from "./move_state.js";

/** The next state of a move, and the order that it calls for. */
export interface MoveStep {
  readonly state: MoveState;
  readonly order?:
    | {
        readonly target: GatewayRunner;
        /** Stop the run, then copy the rest. */
        readonly isFinal: boolean;
      }
    | undefined;
}
