/** How often an instance swaps digests, and with how many peers. */
export interface GossipPace {
  readonly intervalMs: number;
  /** Neighbours called in each interval, beside one peer of the whole list. */
  readonly nearFanout: number;
}
