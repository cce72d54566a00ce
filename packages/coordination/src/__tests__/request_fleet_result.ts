/** What a run of the fleet of whole requests has shown. */
export interface RequestFleetResult {
  /** Crashes by the guilty request that crashed most. */
  readonly crashes: number;
  /**
   * Times that a guilty request was sent to an engine by an instance in touch,
   * later than the window after its third crash; the most of any of them.
   */
  readonly lateSends: number;
  /** Sound requests that were interrupted, and those of them in quarantine. */
  readonly interrupted: number;
  readonly innocentsQuarantined: number;
}
