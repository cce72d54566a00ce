/** Configuration of a stand-in engine. */
export interface EngineOptions {
  readonly runnerId: string;
  /** Size of the KV cache. */
  readonly capacityTokens: number;
  /** Streams that may run at once. */
  readonly maxBatch: number;
  /** Fixed duration of a step. */
  readonly baseStepMs: number;
  /** Added to a step's duration by each running stream. */
  readonly streamStepMs: number;
  readonly prefillMsPerToken: number;
  /** Age of the load that the engine reports. */
  readonly reportLagMs: number;
  /** Whether stale orders, and orders while busy, are rejected. */
  readonly isFenced: boolean;
  /** Whether new generations are refused while leaving. */
  readonly refusesWhenLeaving: boolean;
  /** Base URL of the weight store; without it loads take no time. */
  readonly weightStoreUrl?: string;
}
