/** What one instance tells another about one prompt part. */
export interface PartSuspicion {
  readonly partId: string;
  /** Losses of distinct runner incarnations, newest first. */
  readonly losses: readonly {
    readonly incarnationId: string;
    readonly ageMs: number;
  }[];
  /**
   * Age of the newest request with the part that began and whose runner lived
   * on; undefined if none is known.
   */
  readonly livedAgeMs: number | undefined;
}
