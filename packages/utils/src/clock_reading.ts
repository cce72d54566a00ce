/** One moment on three clocks. */
export interface ClockReading {
  readonly monotonicMs: number;
  readonly wallMs: number;
  readonly bootMs: number;
}
