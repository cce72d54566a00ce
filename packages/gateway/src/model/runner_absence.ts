import type { StorePosition } from "./store_position.js";

/** A runner is missing from the store's list. */
export interface RunnerAbsence {
  readonly asOf: StorePosition;
  /**
   * False if a restored store lacked it and its grace to register again has
   * ended, but the store was not heard since: it may be away, or restored again.
   */
  readonly isConfirmed: boolean;
}
