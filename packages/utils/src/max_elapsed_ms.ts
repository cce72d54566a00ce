import type { ClockReading } from "./clock_reading.js";
import { readClocks } from "./read_clocks.js";

/**
 * Returns an upper estimate of the time since a reading: the larger difference
 * of the two clocks. The monotonic clock may stop while the machine is
 * suspended, unlike the wall clock, and the wall clock may jump.
 */
export function maxElapsedMs(
  since: ClockReading,
  now: ClockReading = readClocks(),
): number {
  return Math.max(
    now.monotonicMs - since.monotonicMs,
    now.wallMs - since.wallMs,
  );
}
