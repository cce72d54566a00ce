import type { RelayProgress } from "./relay_progress.js";

/**
 * Records an attempt that no runner has executed. A run whose resumption fails
 * stays one that has: its stopped part then counts as an attempt of its own.
 */
export function recordUnexecuted(
  progress: RelayProgress,
  { reason }: { readonly reason: string },
  isResumption: boolean,
): void {
  progress.lastReason = isResumption
    ? `the run could not resume: ${reason}`
    : reason;
  if (isResumption) progress.executionCount += 1;
}
