import type { ClockReading } from "./clock_reading.js";
import { monotonicMs } from "./monotonic_ms.js";

/**
 * Reads the clocks for `elapsedAtMostMs`. The uptime that Node offers is left
 * out: it comes from /proc, which may show another machine's than the clocks.
 */
export function readClocks(): ClockReading {
  return { monotonicMs: monotonicMs(), wallMs: Date.now() };
}
