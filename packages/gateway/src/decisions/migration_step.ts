import type { MoveOrder } from "./move_order.js";
import type { MoveState } from "./move_state.js";

/** The next state of a migration, and the action to perform. */
export interface MigrationStep {
  readonly state: MoveState;
  readonly order?: MoveOrder | undefined;
}
