/** Weights of the terms of the objective that placement minimises. */
export interface ObjectiveWeights {
  readonly stallTime: number;
  readonly tailLatency: number;
  readonly preemptions: number;
  readonly crossRegionTraffic: number;
}
