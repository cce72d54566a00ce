import type { Logger } from "@jujubeladder/logger";
import { probePort } from "@jujubeladder/utils";
import { judgeConnectionEnd } from "../decisions/judge_connection_end.js";
import type { GatewayRunner } from "../model/gateway_runner.js";
import type { AttemptConnection } from "./attempt_connection.js";
import type { AttemptOutcome } from "./attempt_outcome.js";
import type { RunMigration } from "./run_migration.js";

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
    const contact = await probePort(attempt.runner, attempt.maxWaitMs);
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
