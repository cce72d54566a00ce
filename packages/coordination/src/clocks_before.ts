import type { ClockReading } from "@jujubeladder/utils";

/** Returns what the clocks showed `ageMs` before a reading. */
export function clocksBefore(now: ClockReading, ageMs: number): ClockReading {
  return {
    monotonicMs: now.monotonicMs - ageMs,
    wallMs: now.wallMs - ageMs,
  };
}
