/** How often an instance gossips, and with how many peers. */
export interface GossipPace {
  readonly intervalMs: number;
  /** Neighbours called per interval, plus one random peer of the whole list. */
  readonly nearFanout: number;
}
