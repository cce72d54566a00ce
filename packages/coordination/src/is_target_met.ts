import type { RunnerLoad, RunnerTarget } from "@jujubeladder/types";

/** True if a runner's state matches its configured target. */
export function isTargetMet(
  state: RunnerLoad["state"],
  target: RunnerTarget,
): boolean {
  return (
    state.model === target.model &&
    state.version === target.version &&
    state.role === target.role &&
    [...state.adapters].sort().join() === [...target.adapters].sort().join()
  );
}
