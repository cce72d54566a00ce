/** What a caller received for one request that is answered whole. */
export interface RecordedAnswer {
  readonly name: string;
  /** Marks the request in the ground truth of the stand-ins. */
  readonly mark: string;
  readonly statusCode: number;
  /** Outcome as stated to the caller; `none` when no answer came. */
  readonly outcome: string;
  readonly body: string;
}
