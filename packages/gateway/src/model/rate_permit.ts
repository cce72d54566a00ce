/** Whether a request may be sent to a runner with a rate limit. */
export type RatePermit =
  /** It may be used once, from `waitMs` on. */
  | { readonly type: "granted"; readonly waitMs: number }
  /** None is to be had before `waitMs` have passed. */
  | { readonly type: "refused"; readonly waitMs: number };
