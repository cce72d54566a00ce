/** Why this instance answers a request itself. */
export type Refusal =
  | { readonly type: "malformed"; readonly reason: string }
  | { readonly type: "unknown_key" }
  | { readonly type: "no_route" }
  | { readonly type: "body_too_large" }
  /** Nothing was sent to a runner that may have run it. */
  | {
      readonly type: "not_run";
      readonly reason: string;
      readonly retryAfterMs: number;
    }
  /** A runner may have run it and gave no whole answer. */
  | { readonly type: "may_have_run"; readonly reason: string }
  | { readonly type: "timed_out"; readonly reason: string };
