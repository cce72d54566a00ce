/** Why this instance refuses a request instead of relaying a response. */
export type Refusal =
  | { readonly type: "malformed"; readonly reason: string }
  | { readonly type: "unknown_key" }
  | { readonly type: "no_route" }
  | { readonly type: "head_too_large" }
  | { readonly type: "body_too_large" }
  /** No runner can have executed the request. */
  | {
      readonly type: "not_run";
      readonly reason: string;
      readonly retryAfterMs: number;
    }
  /** A runner may have executed it without giving a complete response. */
  | { readonly type: "may_have_run"; readonly reason: string }
  | { readonly type: "timed_out"; readonly reason: string };
