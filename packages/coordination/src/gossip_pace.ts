/** How often an instance gossips, and with how many peers. */
export interface GossipPace {
  readonly intervalMs: number;
  /** Neighbours called per interval, in addition to one random peer. */
  readonly nearFanout: number;
}
