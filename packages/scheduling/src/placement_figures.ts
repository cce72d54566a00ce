/** Score of a placement and the values it was computed from. */
export interface PlacementFigures {
  readonly score: number;
  readonly predictedPeakShare: number;
  readonly runningStreams: number;
  readonly isPrefixHit: boolean;
  readonly isSameRegion: boolean;
  readonly reportAgeMs: number;
}
