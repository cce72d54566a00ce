/** Metrics of one simulation run; measure prints them under these names. */
export interface PolicyMetrics {
  readonly requests: number;
  readonly stallTotalMs: number;
  readonly stallP99Ms: number;
  readonly preemptionsPerThousand: number;
  readonly gapP50Ms: number;
  readonly gapP95Ms: number;
  readonly gapP99Ms: number;
  readonly firstTokenP50Ms: number;
  readonly firstTokenP99Ms: number;
  readonly shortFirstTokenP99Ms: number;
  readonly completedWeighted: number;
  readonly lost: number;
  readonly refusals: number;
  readonly worstTeamShare: number;
  readonly crossRegionShare: number;
}
