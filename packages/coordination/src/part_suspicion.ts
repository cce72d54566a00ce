/** What an instance knows of a part of prompts that runners may crash on. */
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
