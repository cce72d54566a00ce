import { maxElapsedMs, sleep, type ClockReading } from "@jujubeladder/utils";
import type { EndedProcess } from "../model/ended_process.js";
import type { EngineControl } from "../model/engine_control.js";
import type { GatewayRunner } from "../model/gateway_runner.js";
import { HttpConnection } from "../transport/http_connection.js";
import type { RunnerDirectory } from "../views/runner_directory.js";
import type { UnseenRunnerChanges } from "../views/unseen_runner_changes.js";

/** Time in which a process that ends closes its port, behind its connections. */
const DELAY_MS = 20;
/** Time of a busy process to respond, or of the way there to lose a packet. */
const TIMEOUT_MS = 400;
/** No runner ends and is back in less. */
const MIN_RESTART_MS = 1_000;
const REFUSED = "ECONNREFUSED";

/** Finds out whether the process that a request was sent to is still there. */
export class ProcessChecker {
  readonly #control: Pick<EngineControl, "readStart">;
  readonly #directory: Pick<RunnerDirectory, "findPresence">;
  readonly #unseen: Pick<UnseenRunnerChanges, "read">;

  constructor(dependencies: {
    readonly control: Pick<EngineControl, "readStart">;
    readonly directory: Pick<RunnerDirectory, "findPresence">;
    readonly unseenChanges: Pick<UnseenRunnerChanges, "read">;
  }) {
    this.#control = dependencies.control;
    this.#directory = dependencies.directory;
    this.#unseen = dependencies.unseenChanges;
  }

  /** Takes `maxWaitMs` at most, but for a read of the store. */
  async check(
    runner: GatewayRunner,
    {
      sentAt,
      maxWaitMs,
    }: { readonly sentAt: ClockReading; readonly maxWaitMs: number },
  ): Promise<EndedProcess> {
    const delayMs = Math.min(DELAY_MS, Math.max(0, maxWaitMs));
    await sleep(delayMs);
    const timeoutMs = Math.min(TIMEOUT_MS, Math.max(1, maxWaitMs - delayMs));
    const { host, port } = runner;
    const opened = await HttpConnection.open({ host, port }, { timeoutMs });
    if (!opened.ok) return opened.error === REFUSED ? "gone" : "silent";
    if (this.#isReplaced(runner)) {
      opened.value.close();
      return "replaced";
    }
    const start = await this.#control.readStart(opened.value, timeoutMs);
    opened.value.close();
    if (start.type === "no_response") return "silent";
    if (start.type === "told" && runner.startedAtMs > 0)
      return start.startedAtMs === runner.startedAtMs ? "alive" : "replaced";
    // Bytes and an end may be late, but the process ran after the request was sent.
    if (maxElapsedMs(sentAt) < MIN_RESTART_MS) return "alive";
    return await this.#askStore(runner);
  }

  #isReplaced(runner: GatewayRunner): boolean {
    return this.#directory.findPresence(runner) === "replaced";
  }

  // Does not tell of a process that listens and has not registered yet.
  async #askStore(runner: GatewayRunner): Promise<EndedProcess> {
    const changes = await this.#unseen.read();
    if (!changes) return "not_known";
    const isAnother = changes.some(
      (change) =>
        change.type === "put" &&
        change.runner.startedAtMs > runner.startedAtMs &&
        (change.runner.runnerId === runner.runnerId ||
          (change.runner.host === runner.host &&
            change.runner.port === runner.port)),
    );
    return isAnother || this.#isReplaced(runner) ? "replaced" : "alive";
  }
}
