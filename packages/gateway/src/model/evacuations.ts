import type { StorePosition } from "./store_position.js";

/** The evacuated availability zones as of a position of the store. */
export interface Evacuations {
  readonly zones: readonly string[];
  readonly asOf: StorePosition;
}
