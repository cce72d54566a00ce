import type { ClockReading } from "./clock_reading.js";
import { readClocks } from "./read_clocks.js";

/**
 * Upper estimate of the time since a reading. The monotonic clock may stand
 * still while a machine is suspended, which the wall clock shows, and the wall
 * clock may jump, so the larger of the differences counts.
 */
export function elapsedAtMostMs(
  since: ClockReading,
  now: ClockReading = readClocks(),
): number {
  return Math.max(
    now.monotonicMs - since.monotonicMs,
    now.wallMs - since.wallMs,
  );
}
