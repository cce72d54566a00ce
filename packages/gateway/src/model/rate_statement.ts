/** What a runner's response says of the request rate that it takes. */
export type RateStatement =
  | {
      readonly type: "limited";
      /** From all instances together. */
      readonly requestsPerSecond: number;
    }
  | { readonly type: "unlimited" }
  /** It states a limit that can't be read. */
  | { readonly type: "unreadable" };
