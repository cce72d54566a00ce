import type { Logger } from "@jujubeladder/logger";
import type { ClockReading } from "@jujubeladder/utils";
import { judgeConnectionEnd } from "../decisions/judge_connection_end.js";
import type { GatewayRunner } from "../model/gateway_runner.js";
import type { AttemptConnection } from "./attempt_connection.js";
import type { AttemptOutcome } from "./attempt_outcome.js";
import type { ProcessChecker } from "./process_checker.js";
import type { RunMigration } from "./run_migration.js";

/** An attempt whose answer has ended. */
interface EndedAttempt {
  readonly requestId: string;
  readonly runner: GatewayRunner;
  readonly connection: AttemptConnection;
  readonly migration: RunMigration | undefined;
  /** Just before it was sent. */
  readonly sentAt: ClockReading;
  /** Time that is left to look after the runner. */
  readonly maxWaitMs: number;
}

/** Takes answers for broken of which no framing and no runner tells the end. */
export class EndChecker {
  readonly #processes: Pick<ProcessChecker, "check">;
  readonly #logger: Logger;

  constructor(processes: Pick<ProcessChecker, "check">, logger: Logger) {
    this.#processes = processes;
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
    const { runner } = attempt;
    const process = await this.#processes.check(runner, attempt);
    const mayHaveStopped = attempt.migration?.mayHaveStopped === true;
    const reason = judgeConnectionEnd({ mayHaveStopped, process });
    this.#logger.info("answer_end", {
      request: attempt.requestId,
      runner: runner.runnerId,
      process,
      is_whole: reason === undefined,
      reason,
    });
    return reason === undefined ? outcome : { type: "broken", reason };
  }
}
