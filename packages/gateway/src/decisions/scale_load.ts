import type { RunnerLoad } from "../model/runner_load.js";

/** Multiplies each field of a load by a factor. */
export function scaleLoad(load: RunnerLoad, factor: number): RunnerLoad {
  return {
    requests: load.requests * factor,
    peakTokens: load.peakTokens * factor,
    unreadTokens: load.unreadTokens * factor,
  };
}
