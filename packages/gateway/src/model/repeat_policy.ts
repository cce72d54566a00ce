/** What may be sent to a second runner. */
export type RepeatPolicy =
  | { readonly type: "idempotent" }
  | { readonly type: "at_most_once" }
  | {
      readonly type: "stream";
      /** A new run may go on after the last event that was received. */
      readonly isResumable: boolean;
      /** Longest pause between events for an answer that is on time. */
      readonly maxGapMs: number;
    };
