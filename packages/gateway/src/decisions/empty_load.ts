import type { RunnerLoad } from "../model/runner_load.js";

/** The load of a runner without work. */
export const EMPTY_LOAD: RunnerLoad = {
  requests: 0,
  peakTokens: 0,
  unreadTokens: 0,
};
