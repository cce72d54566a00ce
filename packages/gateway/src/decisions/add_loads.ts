import type { RunnerLoad } from "../model/runner_load.js";

/** Adds two loads field by field. */
export function addLoads(a: RunnerLoad, b: RunnerLoad): RunnerLoad {
  return {
    requests: a.requests + b.requests,
    peakTokens: a.peakTokens + b.peakTokens,
    unreadTokens: a.unreadTokens + b.unreadTokens,
  };
}
