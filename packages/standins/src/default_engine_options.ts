import type { EngineOptions } from "./engine_options.js";

/** Options of a small engine. */
export const DEFAULT_ENGINE_OPTIONS: EngineOptions = {
  runnerId: "runner-1",
  capacityTokens: 16_000,
  maxBatch: 64,
  baseStepMs: 10,
  streamStepMs: 0.25,
  prefillMsPerToken: 0.02,
  reportLagMs: 250,
  isFenced: true,
  refusesWhenLeaving: true,
};
