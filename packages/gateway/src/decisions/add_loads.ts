import type { RunnerLoad } from "../model/runner_load.js";

/** Returns the sum of two loads. */
export function addLoads(a: RunnerLoad, b: RunnerLoad): RunnerLoad {
  return {
    requests: a.requests + b.requests,
    peakTokens: a.peakTokens + b.peakTokens,
    unreadTokens: a.unreadTokens + b.unreadTokens,
  };
}
