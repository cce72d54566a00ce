import type { FleetOptions } from "../harness/fleet_options.js";
import type { ExpectedOutcome } from "./expected_outcome.js";
import type { TraceAct } from "./trace_act.js";

/** A recorded case of a promise and its expected outcomes. */
export interface Trace {
  readonly promise: string;
  readonly case: string;
  /** One-line description. */
  readonly says: string;
  readonly fleet: FleetOptions;
  readonly acts: readonly TraceAct[];
  readonly states: readonly ExpectedOutcome[];
}
