/** A request that a plain service executed. */
export interface PlainRun {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly atMs: number;
}
