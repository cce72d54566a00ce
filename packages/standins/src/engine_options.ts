/** How a stand-in engine behaves. */
export interface EngineOptions {
  readonly runnerId: string;
  readonly capacityTokens: number;
  readonly maxBatch: number;
  readonly baseStepMs: number;
  readonly streamStepMs: number;
  readonly prefillMsPerToken: number;
  readonly reportLagMs: number;
  readonly isFenced: boolean;
  readonly refusesWhenLeaving: boolean;
  /** Where weights are loaded from; without it loads take no time. */
  readonly weightStoreUrl?: string;
}
