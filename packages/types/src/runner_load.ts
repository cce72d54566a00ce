import type { RunnerTarget } from "./runner_target.js";

/** A load report of an engine; it lags behind the engine's actual state. */
export interface RunnerLoad {
  readonly runnerId: string;
  readonly incarnation: string;
  readonly isLeaving: boolean;
  readonly runningStreams: number;
  readonly waitingStreams: number;
  readonly usedTokens: number;
  readonly capacityTokens: number;
  readonly preemptions: number;
  /** Revision of the last order that the engine applied. */
  readonly fence: number;
  readonly state: Omit<RunnerTarget, "runnerId">;
}
