/**
 * A position in the history of the store. Revisions increase within an era and
 * may be given out again after the store has been restored, in a later one.
 */
export interface StorePosition {
  /** Counts the restores of the store; 0 if the store does not tell. */
  readonly era: number;
  readonly revision: number;
}
