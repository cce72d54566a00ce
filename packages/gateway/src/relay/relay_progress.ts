import type { GatewayRunner } from "../model/gateway_runner.js";
import type { KeptMemory } from "../model/kept_memory.js";
import type { AttemptOutcome } from "./attempt_outcome.js";

/** Progress of one request over its attempts. */
export interface RelayProgress {
  readonly excluded: Set<string>;
  /** Runners that the request was sent to. */
  offers: number;
  /** Runners that may have run it. */
  runs: number;
  mayHaveRun: boolean;
  lastReason: string;
  lastFailure: Extract<AttemptOutcome, { type: "answered" }> | undefined;
  continueAt:
    { readonly runner: GatewayRunner; readonly memory: KeptMemory } | undefined;
}
