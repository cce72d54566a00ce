import { uptime } from "node:os";
import type { ClockReading } from "./clock_reading.js";
import { monotonicMs } from "./monotonic_ms.js";

const MS_PER_SECOND = 1_000;

/** Reads all clocks, for `elapsedAtMostMs`. */
export function readClocks(): ClockReading {
  return {
    monotonicMs: monotonicMs(),
    wallMs: Date.now(),
    bootMs: uptime() * MS_PER_SECOND,
  };
}
