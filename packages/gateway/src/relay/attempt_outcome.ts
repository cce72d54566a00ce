import type { RunnerResponse } from "../model/runner_response.js";

/** Outcome of one attempt on one runner. */
export type AttemptOutcome =
  /** No byte of the request has reached the runner. */
  | { readonly type: "not_sent"; readonly reason: string }
  /** Not sent, as the runner has come to leave or to pause since placement. */
  | { readonly type: "withheld"; readonly reason: string }
  /** The runner states that it has not executed the request. */
  | { readonly type: "rejected"; readonly reason: string }
  /** A complete response that has not been forwarded yet. */
  | {
      readonly type: "answered";
      readonly head: RunnerResponse;
      readonly body: Buffer;
    }
  /** A stream that was forwarded to its end. */
  | { readonly type: "streamed"; readonly head: RunnerResponse }
  /** No valid, complete response; the runner may have executed the request. */
  | { readonly type: "broken"; readonly reason: string }
  /** No first byte within the attempt's timeout; the request has time left. */
  | { readonly type: "slow" }
  /** The request's deadline has passed. */
  | { readonly type: "timed_out" }
  | { readonly type: "caller_left" }
  /** This instance exits before the response is complete. */
  | { readonly type: "given_up" };
