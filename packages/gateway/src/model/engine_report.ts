/** State that an engine reports, a few hundred milliseconds old. */
export interface EngineReport {
  readonly isLeaving: boolean;
  /** Time until it exits; absent if it is not leaving or does not know. */
  readonly exitsInMs?: number | undefined;
}
