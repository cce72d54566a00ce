/** What a caller received for one non-streamed request. */
export interface RecordedResponse {
  readonly name: string;
  /** Identifies the request in the ground truth of the stand-ins. */
  readonly mark: string;
  readonly statusCode: number;
  /** Outcome as reported to the caller; `none` if none was reported. */
  readonly outcome: string;
  readonly body: string;
}
