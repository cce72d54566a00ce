/** A generation inside the engine's model. */
export interface EngineModelStream {
  readonly streamId: string;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly priority: number;
  readonly prefixKey: string;
  producedTokens: number;
}
