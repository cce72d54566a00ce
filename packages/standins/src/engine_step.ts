import type { EngineModelStream } from "./engine_model_stream.js";

/** What one step of the engine's model did. */
export interface EngineStep {
  readonly durationMs: number;
  readonly produced: readonly EngineModelStream[];
  readonly preempted: readonly EngineModelStream[];
  readonly finished: readonly EngineModelStream[];
}
