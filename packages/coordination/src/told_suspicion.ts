/** What peers are told of a request that runners were lost with. */
export interface ToldSuspicion {
  readonly fingerprint: string;
  /** As many as a verdict needs, the newest of those that count. */
  readonly lostRunners: readonly string[];
  /** The newest that do not count any more, as the request was served since. */
  readonly clearedRunners: readonly string[];
  /** Time since the newest loss. */
  readonly ageMs: number;
}
