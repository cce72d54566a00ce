/** Receives a response as it arrives. */
export interface ResponseSink {
  onHead(
    statusCode: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): void;
  /** Returns false to pause until the exchange is resumed. */
  onData(chunk: Buffer): boolean;
  /** The response is complete. */
  onEnd(): void;
  /** The response failed before it was complete. */
  onError(reason: string): void;
}
