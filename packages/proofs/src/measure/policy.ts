import type { RunnerLoad } from "@jujubeladder/types";
import type { Arrival } from "./arrival.js";

/** Capacity reserved for a stream; a no-op for policies that reserve none. */
interface Lease {
  readonly progress: (producedTokens: number) => void;
  readonly release: () => void;
}

/** A policy's decision on a request. */
type PolicyDecision =
  | {
      readonly type: "placed";
      readonly runnerId: string;
      readonly lease: Lease;
    }
  | { readonly type: "refused" };

/** Admission and placement of one instance, as simulated. */
export interface Policy {
  /** Calls `onDecision` once, immediately or after queueing. */
  submit(
    arrival: Arrival,
    onDecision: (decision: PolicyDecision) => void,
  ): void;
  updateLoad(load: RunnerLoad): void;
  setUsableRunners(runnerIds: readonly string[]): void;
  recordCompletion(arrival: Arrival): void;
  dispatchQueued(): void;
}
