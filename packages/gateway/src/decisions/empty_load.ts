import type { RunnerLoad } from "../model/runner_load.js";

/** Load of an idle runner. */
export const EMPTY_LOAD: RunnerLoad = {
  requests: 0,
  peakTokens: 0,
  unreadTokens: 0,
};
