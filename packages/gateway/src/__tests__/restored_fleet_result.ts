/** Counts that show that a run has tried what it is to show. */
export interface RestoredFleetResult {
  readonly restores: number;
  readonly returned: number;
  readonly goneListedAgain: number;
  readonly violations: readonly string[];
}
