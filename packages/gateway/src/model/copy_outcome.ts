/** Answer to an order to copy a run's memory to another runner. */
export type CopyOutcome =
  | {
      readonly type: "copied";
      readonly handle: string;
      /** Events that the run had made when the copy was complete. */
      readonly eventCount: number;
    }
  | { readonly type: "no_such_run" }
  | { readonly type: "already_copying" }
  | {
      readonly type: "refused";
      /** Names the memory that a stopped source still keeps. */
      readonly handle?: string | undefined;
    }
  | { readonly type: "unreachable"; readonly reason: string };
