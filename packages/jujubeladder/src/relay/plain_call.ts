/** A validated call of a plain service. */
export interface PlainCall {
  readonly requestId: string;
  readonly serviceId: string;
  readonly teamId: string;
  readonly method: string;
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: Uint8Array;
  readonly isIdempotent: boolean;
}
