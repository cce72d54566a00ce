/** What happens to a model fleet; times count from the end of its start. */
export interface RestoreScenario {
  readonly instances: number;
  readonly seed: number;
  readonly restores: readonly {
    readonly atMs: number;
    readonly awayMs: number;
    readonly copyAgeMs: number;
  }[];
  /** Instances whose link to the store, and to peers as well, is cut. */
  readonly cuts: readonly {
    readonly instance: number;
    readonly fromMs: number;
    readonly toMs: number;
    readonly isFromPeers: boolean;
  }[];
  readonly restarts: readonly {
    readonly instance: number;
    readonly atMs: number;
    readonly awayMs: number;
  }[];
}
