import type { Logger } from "@jujubeladder/logger";
import { sleep } from "@jujubeladder/utils";
import type { EngineControl } from "../model/engine_control.js";
import type { GatewayRunner } from "../model/gateway_runner.js";
import { toIncarnationId } from "../model/to_incarnation_id.js";
import type { RunnerDirectory } from "../views/runner_directory.js";

/** A leaving runner gives 2 s of notice, of which copying takes 1 s. */
const POLL_INTERVAL_MS = 300;
/** Allows for two round trips between regions. */
const REPORT_TIMEOUT_MS = 250;

/** Dependencies of the poller. */
interface PollerDependencies {
  readonly control: EngineControl;
  readonly directory: RunnerDirectory;
  /** Lists the engines that execute runs of this instance. */
  readonly listSources: () => readonly GatewayRunner[];
  /** True while the runner wants no requests from this instance. */
  readonly isPaused: (runner: GatewayRunner) => boolean;
  /** True while the list of runners can be read. */
  readonly isListFresh: () => boolean;
  readonly logger: Logger;
}

/**
 * Polls engines directly for their leaving state while the list of runners is
 * stale, so that runs still migrate away from leaving engines.
 */
export class LeavePoller {
  readonly #dependencies: PollerDependencies;

  constructor(dependencies: PollerDependencies) {
    this.#dependencies = dependencies;
  }

  /** Polls until the signal is aborted. */
  async run(signal: AbortSignal): Promise<void> {
    let wasFresh = true;
    while (!signal.aborted) {
      const isFresh = this.#dependencies.isListFresh();
      if (isFresh !== wasFresh) {
        this.#dependencies.logger.info("engine_leave_polling", {
          is_on: !isFresh,
          engines: this.#dependencies.listSources().length,
        });
        wasFresh = isFresh;
      }
      if (!isFresh) this.#pollAll();
      await sleep(POLL_INTERVAL_MS, signal);
    }
  }

  #pollAll(): void {
    const { directory, isPaused, listSources } = this.#dependencies;
    for (const runner of listSources()) {
      if (directory.isLeaving(runner.runnerId) || isPaused(runner)) continue;
      void this.#poll(runner);
    }
  }

  async #poll(runner: GatewayRunner): Promise<void> {
    const { control, directory } = this.#dependencies;
    const report = await control.readReport(runner, REPORT_TIMEOUT_MS);
    if (report.isLeaving)
      directory.markLeaving(toIncarnationId(runner), "report");
  }
}
