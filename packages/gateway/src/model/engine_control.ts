import type { CopyOutcome } from "./copy_outcome.js";
import type { EngineReport } from "./engine_report.js";
import type { GatewayRunner } from "./gateway_runner.js";

/** Orders to model engines. */
export interface EngineControl {
  /**
   * Copies the memory of a run at `source` to `target`. With `isFinal` the run
   * stops first and its stream ends early.
   */
  copyRun(
    source: GatewayRunner,
    order: {
      readonly requestId: string;
      readonly target: GatewayRunner;
      readonly isFinal: boolean;
      readonly timeoutMs: number;
    },
  ): Promise<CopyOutcome>;
  /** Asks an engine about itself; an engine that does not answer says nothing. */
  readReport(runner: GatewayRunner, timeoutMs: number): Promise<EngineReport>;
  /** Frees a copy at both ends. */
  dropCopy(source: GatewayRunner, handle: string): Promise<void>;
}
