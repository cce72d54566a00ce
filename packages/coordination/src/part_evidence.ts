import type { PartSuspicion } from "./part_suspicion.js";

/** Evidence on parts of prompts that instances exchange. */
export interface PartEvidence {
  /** Lists up to `limit` suspicions, most urgent first. */
  list(limit: number): readonly PartSuspicion[];
  /**
   * Merges a peer's entries. Returns true if any is worth passing on at once;
   * ages that differ by their way through peers are not.
   */
  merge(entries: readonly PartSuspicion[]): boolean;
}
