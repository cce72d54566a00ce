/** Request body submitted with a ticket. */
export interface SubmissionBody {
  readonly bytes: Uint8Array;
  readonly contentType: string;
}
