/** What an engine really did for one generation. */
export interface GenerationTruth {
  readonly generationId: string;
  readonly content: string;
  readonly startedAtMs: number;
  readonly producedTokens: number;
  readonly isFinished: boolean;
  readonly isCancelled: boolean;
  /** True when an order unloaded the engine under the generation. */
  readonly isCutByOrder: boolean;
}
