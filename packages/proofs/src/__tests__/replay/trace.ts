import type { FleetOptions } from "../harness/fleet_options.js";
import type { StatedOutcome } from "./stated_outcome.js";
import type { TraceAct } from "./trace_act.js";

/** A recorded case of a promise and what is stated of it. */
export interface Trace {
  readonly promise: string;
  readonly case: string;
  readonly says: string;
  readonly fleet: FleetOptions;
  readonly acts: readonly TraceAct[];
  readonly states: readonly StatedOutcome[];
}
