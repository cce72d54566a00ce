/** Receives a runner's answer as it arrives. */
export interface AnswerSink {
  onHead(
    statusCode: number,
    headers: Readonly<Record<string, string | string[] | undefined>>,
  ): void;
  /** Returns false to pause until the exchange is resumed. */
  onData(chunk: Buffer): boolean;
  /** The whole answer has arrived. */
  onEnd(): void;
  /** The answer will not be completed. */
  onBroken(reason: string): void;
}
