/** Whether a request may be retried on another runner. */
export type RetryPolicy =
  | { readonly type: "idempotent" }
  | { readonly type: "at_most_once" }
  | {
      readonly type: "stream";
      /** A new run may resume after the last event that was received. */
      readonly isResumable: boolean;
      /** Maximum gap between events for the stream to count as on time. */
      readonly maxGapMs: number;
      /** Gap between events, or before the first, at which callers leave. */
      readonly abandonGapMs: number;
    };
