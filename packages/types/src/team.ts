/** A customer, known by the SHA-256 of its bearer token. */
export interface Team {
  readonly teamId: string;
  readonly weight: number;
  readonly tokenSha256: string;
}
