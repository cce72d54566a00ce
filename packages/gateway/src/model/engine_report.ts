/** What an engine says of itself, some hundred milliseconds old. */
export interface EngineReport {
  readonly isLeaving: boolean;
  /** Time until it is gone, if it leaves and knows when. */
  readonly leavesInMs?: number | undefined;
}
