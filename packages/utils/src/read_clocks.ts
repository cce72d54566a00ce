import type { ClockReading } from "./clock_reading.js";
import { monotonicMs } from "./monotonic_ms.js";

/**
 * Reads the clocks for `maxElapsedMs`. `os.uptime()` is not used: it comes from
 * /proc, which may report another machine than the one the clocks belong to.
 */
export function readClocks(): ClockReading {
  return { monotonicMs: monotonicMs(), wallMs: Date.now() };
}
