import type { RateStatement } from "./rate_statement.js";

/** What a runner says of itself in the head of a response. */
export interface RunnerNotice {
  readonly isLeaving: boolean;
  /** For how long it wants no requests from this instance. */
  readonly pauseMs?: number | undefined;
  /** For how long it stays cold. */
  readonly coldMs?: number | undefined;
  /** Absent if it does not tell whether there is a limit. */
  readonly rate?: RateStatement | undefined;
}
