/** What a runner says of itself in the head of a response. */
export interface RunnerNotice {
  readonly isLeaving: boolean;
}
