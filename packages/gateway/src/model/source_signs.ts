import type { RunnerPresence } from "./runner_presence.js";

/** What is known of a run's source apart from its answers to orders. */
export interface SourceSigns {
  readonly presence: RunnerPresence;
  /** The time at which it said that it would exit has passed. */
  readonly isPastExit: boolean;
}
