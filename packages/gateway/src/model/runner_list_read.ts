import type { ClockReading } from "@jujubeladder/utils";
import type { StorePosition } from "./store_position.js";

/** A read of the list of runners, or of its changes since the last read. */
export interface RunnerListRead {
  readonly asOf: StorePosition;
  /** No later than the sending of the read. */
  readonly readAt: ClockReading;
  /** True if changes between the last read and this one may have been missed. */
  readonly isWholeList: boolean;
}
