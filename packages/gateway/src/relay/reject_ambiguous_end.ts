import type { AttemptOutcome } from "./attempt_outcome.js";
import type { RunMigration } from "./run_migration.js";

/**
 * Takes a stream for broken if its end may come from the order to stop the run:
 * this closes the stream, and looks like a complete one if only the end of the
 * connection delimits the body.
 */
export function rejectAmbiguousEnd(
  outcome: AttemptOutcome,
  migration: RunMigration | undefined,
): AttemptOutcome {
  const isEndAmbiguous =
    outcome.type === "streamed" &&
    outcome.head.endsWithConnection &&
    migration?.mayHaveStopped === true;
  return isEndAmbiguous
    ? { type: "broken", reason: "the connection ended while the run moved" }
    : outcome;
}
