/** Score of a placement, the values behind it and the load report's age. */
export interface PlacementFigures {
  readonly score: number;
  readonly predictedPeakShare: number;
  readonly runningStreams: number;
  readonly isPrefixHit: boolean;
  readonly isSameRegion: boolean;
  readonly reportAgeMs: number;
}
