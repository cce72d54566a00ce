/** The monotonic and the wall clock, read at the same moment. */
export interface ClockReading {
  readonly monotonicMs: number;
  readonly wallMs: number;
}
