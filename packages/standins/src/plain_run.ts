/** One run that a plain service really did. */
export interface PlainRun {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly atMs: number;
}
