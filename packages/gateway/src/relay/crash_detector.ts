import type { Quarantine } from "@jujubeladder/coordination";
import type { Logger } from "@jujubeladder/logger";
import type { Result } from "@jujubeladder/types";
import { sleep } from "@jujubeladder/utils";
import type { GatewayRunner } from "../model/gateway_runner.js";
import { toIncarnationId } from "../model/to_incarnation_id.js";
import { HttpConnection } from "../transport/http_connection.js";
import type { RunnerDirectory } from "../views/runner_directory.js";
import type { InterruptedRequest } from "./interrupted_request.js";
import type { PartEvidenceRecorder } from "./part_evidence_recorder.js";

/** Time after which a crashed process has stopped listening. */
const PROBE_DELAY_MS = 100;
const PROBE_TIMEOUT_MS = 500;
/** A probe that reached no host is repeated, as links lose packets. */
const MAX_PROBES = 3;
const PROBE_PAUSE_MS = 400;
/** The host answers that no process listens on the port. */
const PORT_CLOSED = "ECONNREFUSED";

/** Opens a connection to a runner; see `HttpConnection.open`. */
type OpenConnection = (
  endpoint: { readonly host: string; readonly port: number },
  options: { readonly timeoutMs: number },
) => Promise<Result<{ readonly close: () => void }, string>>;

/**
 * Distinguishes crashed runners from responses that were merely cut off. Only
 * a runner that has closed its port, and was not leaving, counts as a crash
 * against the request's fingerprint: one that is out of reach may still work.
 */
export class CrashDetector {
  readonly #directory: RunnerDirectory;
  readonly #quarantine: Quarantine;
  readonly #partEvidence: PartEvidenceRecorder;
  readonly #onLoss: (fingerprint: string) => void;
  readonly #logger: Logger;
  readonly #open: OpenConnection;

  /** `onLoss` runs when peers should learn of a new loss at once. */
  constructor(dependencies: {
    readonly directory: RunnerDirectory;
    readonly quarantine: Quarantine;
    readonly partEvidence: PartEvidenceRecorder;
    readonly onLoss: (fingerprint: string) => void;
    readonly logger: Logger;
    readonly openConnection?: OpenConnection;
  }) {
    this.#directory = dependencies.directory;
    this.#quarantine = dependencies.quarantine;
    this.#partEvidence = dependencies.partEvidence;
    this.#onLoss = dependencies.onLoss;
    this.#logger = dependencies.logger;
    this.#open =
      dependencies.openConnection ??
      (async (endpoint, options) => HttpConnection.open(endpoint, options));
  }

  /** Probes a runner whose response to the request was cut off. */
  checkForCrash(runner: GatewayRunner, request: InterruptedRequest): void {
    if (this.#directory.isLeaving(runner.runnerId)) return;
    void this.#probe(runner, request);
  }

  async #probe(
    runner: GatewayRunner,
    request: InterruptedRequest,
  ): Promise<void> {
    const { fingerprint } = request;
    await sleep(PROBE_DELAY_MS);
    let failure = await this.#findFailure(runner);
    for (let probe = 1; probe < MAX_PROBES; probe += 1) {
      if (failure === undefined || failure === PORT_CLOSED) break;
      await sleep(PROBE_PAUSE_MS);
      failure = await this.#findFailure(runner);
    }
    if (failure !== PORT_CLOSED) {
      const event =
        failure === undefined ? "runner_alive" : "runner_out_of_reach";
      this.#logger.info(event, {
        request: request.requestId,
        runner: runner.runnerId,
        fingerprint,
        reason: failure,
      });
      return;
    }
    const incarnationId = toIncarnationId(runner);
    this.#partEvidence.recordCrash(request, incarnationId);
    if (!this.#quarantine.recordLosses(fingerprint, [incarnationId])) return;
    this.#onLoss(fingerprint);
    this.#logger.warn("runner_lost", {
      request: request.requestId,
      runner: runner.runnerId,
      incarnation: incarnationId,
      fingerprint,
      parts: request.sharedPartIds.join(",") || undefined,
      writing_for_ms: request.writingForMs,
      reason: failure,
      suspicion: this.#quarantine.status(fingerprint).type,
    });
  }

  // Undefined if the runner accepts a connection.
  async #findFailure(runner: GatewayRunner): Promise<string | undefined> {
    const opened = await this.#open(
      { host: runner.host, port: runner.port },
      { timeoutMs: PROBE_TIMEOUT_MS },
    );
    if (!opened.ok) return opened.error;
    opened.value.close();
    return undefined;
  }
}
