/** A route of a plain service; paths match by prefix. */
export interface ServiceRoute {
  readonly method: string;
  readonly pathPrefix: string;
  readonly isIdempotent: boolean;
}
