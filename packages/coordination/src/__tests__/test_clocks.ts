/** Clocks that a test moves; a suspended process sees only the wall clock move. */
export class TestClocks {
  monotonicMs = 1_000;
  wallMs = 1_700_000_000_000;
  readonly read = () => ({
    monotonicMs: this.monotonicMs,
    wallMs: this.wallMs,
  });

  advance(ms: number): void {
    this.monotonicMs += ms;
    this.wallMs += ms;
  }
}
