import { createRunner } from "./create_runner.js";
import type { RunnerModel } from "./runner_model.js";

/** Starts a runner that has yet to register. */
export function createRunnerModel(
  runnerId: string,
  { nowMs, lifeMs }: { readonly nowMs: number; readonly lifeMs: number },
): RunnerModel {
  return {
    runner: createRunner(runnerId, { startedAtMs: Math.round(nowMs) }),
    phase: "live",
    nextBeatMs: nowMs,
    endsAtMs: nowMs + lifeMs,
    mustWrite: true,
    lostSinceMs: undefined,
    unlistedSinceMs: nowMs,
  };
}
