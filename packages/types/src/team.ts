/** A team of callers, authenticated by the SHA-256 of its bearer token. */
export interface Team {
  readonly teamId: string;
  readonly weight: number;
  readonly tokenSha256: string;
}
