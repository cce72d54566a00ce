/** What a run of the fleet model has shown. */
export interface FleetResult {
  readonly crashes: number;
  /** Crashes when an instance first refused a request; undefined if none did. */
  readonly crashesBeforeVerdict: number | undefined;
  /** Requests sent to engines later than the window after their part's fifth. */
  readonly lateDeadly: number;
  /** Sound requests that hold a first part of the deadly ones. */
  readonly sound: { readonly offered: number; readonly refused: number };
  /** The same, from twice the window after the fifth (or last) crash on. */
  readonly lateSound: { readonly offered: number; readonly refused: number };
  /** Longest time for which sound requests were refused with no gap of 1 s. */
  readonly longestRefusalMs: number;
  /** Innocent parts that some instance still has in quarantine at the end. */
  readonly innocentsAtEnd: number;
  /** Requests that a crash cut while they were being answered. */
  readonly cut: number;
  /** Messages between instances that told of a part. */
  readonly messages: number;
}
