/** One moment on two clocks. */
export interface ClockReading {
  readonly monotonicMs: number;
  readonly wallMs: number;
}
