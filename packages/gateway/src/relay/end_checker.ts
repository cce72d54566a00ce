import type { Logger } from "@jujubeladder/logger";
import { sleep } from "@jujubeladder/utils";
import { judgeConnectionEnd } from "../decisions/judge_connection_end.js";
import type { RunnerContact } from "../decisions/runner_contact.js";
import type { GatewayRunner } from "../model/gateway_runner.js";
import { HttpConnection } from "../transport/http_connection.js";
import type { AttemptConnection } from "./attempt_connection.js";
import type { AttemptOutcome } from "./attempt_outcome.js";
import type { RunMigration } from "./run_migration.js";

/** Time in which a process that ends closes its port, behind its connections. */
const PROBE_DELAY_MS = 20;
/** Two round trips between regions, and time of a busy runner to accept. */
const PROBE_TIMEOUT_MS = 400;
const PORT_CLOSED = "ECONNREFUSED";

/** An attempt whose answer has ended. */
interface EndedAttempt {
  readonly requestId: string;
  readonly runner: GatewayRunner;
  readonly connection: AttemptConnection;
  readonly migration: RunMigration | undefined;
  /** Time that is left to look after the runner. */
  readonly maxWaitMs: number;
}

/** Takes answers for broken of which no framing and no runner tells the end. */
export class EndChecker {
  readonly #logger: Logger;

  constructor(logger: Logger) {
    this.#logger = logger;
  }

  async check(
    outcome: AttemptOutcome,
    attempt: EndedAttempt,
  ): Promise<AttemptOutcome> {
    if (outcome.type !== "answered" && outcome.type !== "streamed")
      return outcome;
    // What a framing ends is whole before the connection's end is read.
    if (attempt.connection.endedBy !== "runner") return outcome;
    const contact = await probe(attempt.runner, attempt.maxWaitMs);
    const mayHaveStopped = attempt.migration?.mayHaveStopped === true;
    const reason = judgeConnectionEnd({ mayHaveStopped, contact });
    this.#logger.info("answer_end", {
      request: attempt.requestId,
      runner: attempt.runner.runnerId,
      contact,
      is_whole: reason === undefined,
      reason,
    });
    return reason === undefined ? outcome : { type: "broken", reason };
  }
}

async function probe(
  { host, port }: GatewayRunner,
  maxWaitMs: number,
): Promise<RunnerContact> {
  await sleep(Math.min(PROBE_DELAY_MS, Math.max(0, maxWaitMs)));
  const timeoutMs = Math.min(PROBE_TIMEOUT_MS, Math.max(1, maxWaitMs));
  const opened = await HttpConnection.open({ host, port }, { timeoutMs });
  if (opened.ok) {
    opened.value.close();
    return "accepted";
  }
  return opened.error === PORT_CLOSED ? "refused" : "silent";
}
