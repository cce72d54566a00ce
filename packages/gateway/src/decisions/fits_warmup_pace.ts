import type { RunnerLoad } from "../model/runner_load.js";

/** Requests that a runner gets before it has begun to answer any. */
const FIRST_REQUESTS = 2;

/**
 * True if a runner that warms up may take a prompt of `promptTokens` now. The
 * prompts that it has yet to read may take as much as the requests that it has
 * begun to answer, so that its load doubles each time that it keeps up. The load
 * that this answers is an empty runner in front of a backlog: without it, all
 * instances fill it before it has shown that, and how fast, it answers.
 */
export function fitsWarmupPace(
  load: RunnerLoad,
  promptTokens: number,
): boolean {
  const begunTokens = load.peakTokens - load.unreadTokens;
  const allowedTokens = Math.max(FIRST_REQUESTS * promptTokens, begunTokens);
  return load.unreadTokens + promptTokens <= allowedTokens;
}
