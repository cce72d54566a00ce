import type { PlacementChoice } from "../decisions/placement_choice.js";
import type { RunnerLoad } from "../model/runner_load.js";

/** Why a runner would not get a request now. */
export type ExclusionReason =
  | "leaving"
  | "region"
  | "evacuated"
  | "paused"
  | "limited"
  | "cold"
  | "warming_up"
  | "full";

/** A runner, as a placement would see it. */
export interface ExplainedRunner {
  readonly runnerId: string;
  readonly availabilityZone: string;
  readonly region: string;
  readonly softwareVersion: string;
  readonly load: RunnerLoad;
  readonly failureShare: number;
  readonly verdict:
    | { readonly type: "candidate"; readonly score: number }
    | { readonly type: "excluded"; readonly reason: ExclusionReason };
}

/** What would be decided about a request, and about each runner for it. */
export interface PlacementExplanation {
  readonly choice: PlacementChoice;
  /** Candidates by score, then the excluded ones. */
  readonly runners: readonly ExplainedRunner[];
  readonly queuedCount: number;
  readonly knowsFleetLoads: boolean;
}
