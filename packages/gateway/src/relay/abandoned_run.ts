import type { GatewayRunner } from "../model/gateway_runner.js";

/** A run that this instance gave up; its source may still execute it. */
export interface AbandonedRun {
  readonly source: GatewayRunner;
  /** The run has produced an event. */
  readonly hasStarted: boolean;
}
