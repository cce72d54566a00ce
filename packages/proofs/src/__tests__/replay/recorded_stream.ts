/** What a caller received of one streamed response. */
export interface RecordedStream {
  readonly name: string;
  readonly content: string;
  readonly entry: string;
  readonly tokens: string[];
  lastEventId: string;
  statusCode: number;
  /** How the stream ended; undefined while it is open. */
  end: "clean" | "error" | "broken" | undefined;
  errorType: string;
}
