/** Response to one caller. */
export interface CallerResponse {
  /** Aborted if the caller disconnects before the response is complete. */
  readonly disconnectSignal: AbortSignal;
  /** Aborted then, or when this instance gives the request up. */
  readonly cancelSignal: AbortSignal;
  /** The head has been sent; only body data may follow. */
  readonly isHeadSent: boolean;
  /**
   * Sends the head; `headers` alternates names and values. The body has a framing
   * of its own, so that any early end of the connection shows.
   */
  sendHead(statusCode: number, headers: readonly string[]): void;
  /** Returns false if the write buffer is full; see `onDrain`. */
  write(chunk: Uint8Array): boolean;
  /** Calls `resume` once when the write buffer has drained. */
  onDrain(resume: () => void): void;
  end(chunk?: Uint8Array): void;
  /** Closes the connection so that the response does not appear complete. */
  abort(): void;
}
