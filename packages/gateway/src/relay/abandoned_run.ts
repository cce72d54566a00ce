import type { GatewayRunner } from "../model/gateway_runner.js";

/** A run whose stream has ended early; its source may still execute it. */
export interface AbandonedRun {
  readonly source: GatewayRunner;
  /** The run has produced an event. */
  readonly hasStarted: boolean;
}
