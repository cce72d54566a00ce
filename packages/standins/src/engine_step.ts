import type { EngineModelStream } from "./engine_model_stream.js";

/** Result of one step of the engine model. */
export interface EngineStep {
  readonly durationMs: number;
  readonly produced: readonly EngineModelStream[];
  readonly preempted: readonly EngineModelStream[];
  readonly finished: readonly EngineModelStream[];
}
