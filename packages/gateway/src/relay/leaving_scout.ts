import type { Logger } from "@jujubeladder/logger";
import { sleep } from "@jujubeladder/utils";
import type { EngineControl } from "../model/engine_control.js";
import type { GatewayRunner } from "../model/gateway_runner.js";
import { toLifeId } from "../model/to_life_id.js";
import type { RunnerDirectory } from "../views/runner_directory.js";

/** A runner gives two seconds of notice, of which its copies need one. */
const INTERVAL_MS = 300;
/** Two round trips between regions. */
const REPORT_TIMEOUT_MS = 250;

/** The parts that a scout works with. */
interface ScoutParts {
  readonly control: EngineControl;
  readonly directory: RunnerDirectory;
  /** Engines that have runs of this instance. */
  readonly listSources: () => readonly GatewayRunner[];
  readonly isListFresh: () => boolean;
  readonly logger: Logger;
}

/**
 * Asks engines themselves whether they leave while the list of runners can't
 * be read, so that runs move away from them then as well.
 */
export class LeavingScout {
  readonly #parts: ScoutParts;

  constructor(parts: ScoutParts) {
    this.#parts = parts;
  }

  async run(signal: AbortSignal): Promise<void> {
    let wasFresh = true;
    while (!signal.aborted) {
      const isFresh = this.#parts.isListFresh();
      if (isFresh !== wasFresh) {
        this.#parts.logger.info("engines_asked_themselves", {
          is_on: !isFresh,
          engines: this.#parts.listSources().length,
        });
        wasFresh = isFresh;
      }
      if (!isFresh) this.#askAll();
      await sleep(INTERVAL_MS, signal);
    }
  }

  #askAll(): void {
    for (const runner of this.#parts.listSources()) {
      if (this.#parts.directory.isLeaving(runner.runnerId)) continue;
      void this.#ask(runner);
    }
  }

  async #ask(runner: GatewayRunner): Promise<void> {
    const { control, directory } = this.#parts;
    const report = await control.readReport(runner, REPORT_TIMEOUT_MS);
    if (report.isLeaving) directory.noteLeaving(toLifeId(runner), "report");
  }
}
