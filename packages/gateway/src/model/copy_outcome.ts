/** Result of copying a run's KV cache to another runner. */
export type CopyOutcome =
  | {
      readonly type: "copied";
      readonly handle: string;
      /** Events that the run had emitted when the copy was complete. */
      readonly eventCount: number;
    }
  | { readonly type: "no_such_run" }
  | { readonly type: "already_copying" }
  | {
      readonly type: "refused";
      /** Identifies the KV cache that a stopped source still holds. */
      readonly handle?: string | undefined;
    }
  /** Nothing listens at the source's address. */
  | { readonly type: "connection_refused" }
  /** The source's address did not respond to the connection. */
  | { readonly type: "no_response" }
  /** No valid answer; the order may have been executed. */
  | { readonly type: "unreachable"; readonly reason: string };
