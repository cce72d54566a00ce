import type { KeptMemory } from "./kept_memory.js";

/** What this instance adds to a request that it sends to a runner. */
export interface AttemptHead {
  readonly runnerId: string;
  readonly teamId?: string | undefined;
  /** Time left to the runner. */
  readonly remainingMs: number;
  /** Rank at an engine, 0 (first) to 9. */
  readonly enginePriority?: number | undefined;
  readonly continueFrom?: KeptMemory | undefined;
  readonly lastEventId?: number | undefined;
  /** Runner that keeps a copy of the run's memory. */
  readonly backup?:
    { readonly host: string; readonly port: number } | undefined;
}
