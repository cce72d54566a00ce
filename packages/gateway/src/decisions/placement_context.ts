import type { EngineFeatures } from "../model/engine_features.js";
import type { GenerationWork } from "../model/generation_work.js";

/** Inputs of a placement besides the candidates. */
export interface PlacementContext {
  readonly availabilityZone: string;
  readonly region: string;
  readonly nowMs: number;
  readonly engine?: EngineFeatures | undefined;
  readonly work?: GenerationWork | undefined;
  readonly isUrgent: boolean;
  /**
   * A random number in [0, 1), set when only some peers' placements are known.
   */
  readonly random?: number | undefined;
  /** Set where the prompts that all instances have placed are known. */
  readonly firstToken?:
    | {
        readonly tokensPerMs: number;
        /** How late it may begin by the unread prompts; see there. */
        readonly limitMs: number;
      }
    | undefined;
}
