/** The figures that a placement decision rested on. */
export interface PlacementFigures {
  readonly score: number;
  readonly predictedPeakShare: number;
  readonly runningStreams: number;
  readonly isPrefixHit: boolean;
  readonly isSameRegion: boolean;
  readonly reportAgeMs: number;
}
