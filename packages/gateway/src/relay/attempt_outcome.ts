import type { RunnerAnswer } from "../model/runner_answer.js";

/** How one attempt at one runner ended. */
export type AttemptOutcome =
  /** No byte of the request has reached the runner. */
  | { readonly type: "not_sent"; readonly reason: string }
  /** The runner states that it has not run the request. */
  | { readonly type: "rejected"; readonly reason: string }
  /** A whole answer that the caller has not seen yet. */
  | {
      readonly type: "answered";
      readonly head: RunnerAnswer;
      readonly body: Buffer;
    }
  /** A stream that was passed on to its end. */
  | { readonly type: "streamed"; readonly head: RunnerAnswer }
  /** The runner may have run the request; no whole answer came. */
  | { readonly type: "broken"; readonly reason: string }
  /** The attempt's own time ran out, not yet the request's. */
  | { readonly type: "slow" }
  | { readonly type: "timed_out" }
  | { readonly type: "caller_left" };
