/** Head of a response, and its body as it arrives. */
export interface SingleUseResponse {
  readonly statusCode: number;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: AsyncIterable<Uint8Array>;
  /** Only the end of the connection tells the end of the body. */
  readonly endsWithConnection: boolean;
}
