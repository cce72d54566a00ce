/** A generation as the engine model schedules it. */
export interface EngineModelStream {
  readonly streamId: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Lower values are admitted first and preempted last. */
  readonly priority: number;
  readonly prefixKey: string;
  producedTokens: number;
}
