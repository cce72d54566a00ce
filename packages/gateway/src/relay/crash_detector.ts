import type { Quarantine } from "@jujubeladder/coordination";
import type { Logger } from "@jujubeladder/logger";
import { sleep } from "@jujubeladder/utils";
import type { GatewayRunner } from "../model/gateway_runner.js";
import { toIncarnationId } from "../model/to_incarnation_id.js";
import { HttpConnection } from "../transport/http_connection.js";
import type { RunnerDirectory } from "../views/runner_directory.js";

/** Time after which a crashed process has stopped listening. */
const PROBE_DELAY_MS = 100;
const PROBE_TIMEOUT_MS = 500;

/**
 * Distinguishes crashed runners from responses that were merely cut off. Only
 * a runner that no longer accepts connections, and was not leaving, counts as a
 * crash against the request's fingerprint.
 */
export class CrashDetector {
  readonly #directory: RunnerDirectory;
  readonly #quarantine: Quarantine;
  readonly #logger: Logger;

  constructor(dependencies: {
    readonly directory: RunnerDirectory;
    readonly quarantine: Quarantine;
    readonly logger: Logger;
  }) {
    this.#directory = dependencies.directory;
    this.#quarantine = dependencies.quarantine;
    this.#logger = dependencies.logger;
  }

  /** Probes a runner whose response to the request was cut off. */
  checkForCrash(runner: GatewayRunner, fingerprint: string): void {
    if (this.#directory.isLeaving(runner.runnerId)) return;
    void this.#probe(runner, fingerprint);
  }

  async #probe(runner: GatewayRunner, fingerprint: string): Promise<void> {
    await sleep(PROBE_DELAY_MS);
    const opened = await HttpConnection.open(
      { host: runner.host, port: runner.port },
      { timeoutMs: PROBE_TIMEOUT_MS },
    );
    if (opened.ok) {
      opened.value.close();
      return;
    }
    const incarnationId = toIncarnationId(runner);
    if (!this.#quarantine.recordLosses(fingerprint, [incarnationId])) return;
    this.#logger.warn("runner_lost", {
      runner: runner.runnerId,
      fingerprint,
      reason: opened.error,
      suspicion: this.#quarantine.status(fingerprint).type,
    });
  }
}
