import type { RunnerNotice } from "./runner_notice.js";

/** The decoded head of a runner's response. */
export interface RunnerResponse {
  readonly statusCode: number;
  /** The request that the runner responds to. */
  readonly requestId?: string | undefined;
  /** Whether the runner states that it did not execute the request. */
  readonly execution: "executed" | "not_executed" | "wrong_runner";
  readonly notice: RunnerNotice;
  /** A success without the runner's signature did not come from the runner. */
  readonly isSigned: boolean;
  /** The body has a content encoding, which callers did not request. */
  readonly isEncoded: boolean;
  readonly isEventStream: boolean;
  /** The runner closes the connection, often because it is leaving. */
  readonly isClosing: boolean;
  /** Keep-alive timeout of an idle connection, if the runner states one. */
  readonly keepAliveMs?: number | undefined;
  /** Headers to forward to the caller: names and values, alternating. */
  readonly forwardedHeaders: readonly string[];
}
