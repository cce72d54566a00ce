/** Ground truth of one generation, as the engine recorded it. */
export interface GenerationTruth {
  readonly generationId: string;
  readonly content: string;
  readonly startedAtMs: number;
  readonly producedTokens: number;
  readonly isFinished: boolean;
  readonly isCancelled: boolean;
  /** True when an order cancelled the generation. */
  readonly isCutByOrder: boolean;
}
