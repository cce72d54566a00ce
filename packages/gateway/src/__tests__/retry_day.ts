/** What happens to the fleet of a retry model, in ms since its start. */
export interface RetryDay {
  readonly instanceCount: number;
  readonly engineCount: number;
  readonly requestsPerSecond: number;
  readonly fleetSlack: number;
  readonly durationMs: number;
  /** The longest that word of a greater fleet takes to an instance. */
  readonly sizeLagMs: number;
  /** Attempts fail, or are refused, with this probability meanwhile. */
  readonly failures: readonly {
    readonly fromMs: number;
    readonly toMs: number;
    readonly ratio: number;
  }[];
  /** Engines that give notice at once. */
  readonly notices: readonly {
    readonly atMs: number;
    readonly share: number;
  }[];
  /** Instances that end at once and start anew, after a drain if rolled. */
  readonly restarts: readonly {
    readonly atMs: number;
    readonly share: number;
    readonly kind: "kill" | "roll";
  }[];
  /** Factors to which the fleet grows or shrinks. */
  readonly sizes: readonly { readonly atMs: number; readonly factor: number }[];
}
