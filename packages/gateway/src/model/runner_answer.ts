/** Head of a runner's answer, decoded. */
export interface RunnerAnswer {
  readonly statusCode: number;
  /** The request that the runner answers. */
  readonly requestId?: string | undefined;
  /** Whether the runner states that it did not run the request. */
  readonly execution: "executed" | "not_executed" | "wrong_runner";
  /** A success without the runner's signature is not its answer. */
  readonly isSigned: boolean;
  /** The body is encoded, which callers have not asked for. */
  readonly isEncoded: boolean;
  readonly isEventStream: boolean;
  /** The runner closes the connection; often a sign that it leaves. */
  readonly isClosing: boolean;
  /**
   * Only the end of the connection ends the body, so that a whole one can't be
   * told from one that broke off.
   */
  readonly endsWithConnection: boolean;
  /** How long the runner keeps an idle connection, if it says so. */
  readonly keepAliveMs?: number | undefined;
  /** Names and values that are passed to the caller, alternating. */
  readonly forwardedHeaders: readonly string[];
}
