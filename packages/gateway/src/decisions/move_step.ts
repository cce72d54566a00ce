import type { MoveOrder } from "./move_order.js";
import type { MoveState } from "./move_state.js";

/** The next state of a move, and the order that it calls for. */
export interface MoveStep {
  readonly state: MoveState;
  readonly order?: MoveOrder | undefined;
}
