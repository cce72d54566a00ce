import type { Logger } from "@jujubeladder/logger";
import { monotonicMs, settleWithin, sleep } from "@jujubeladder/utils";
import type { CopyOutcome } from "../model/copy_outcome.js";
import type { EngineControl } from "../model/engine_control.js";
import type { StopProof } from "../model/stop_proof.js";
import type { AbandonedRun } from "./abandoned_run.js";

/**
 * Time for the source to stop the run. A hanging engine does not answer, and
 * the caller waits meanwhile.
 */
const STOP_TIMEOUT_MS = 300;
/** Late answers are awaited to free the copies that they name. */
const ANSWER_TIMEOUT_MS = 4_000;
/** Orders to stop one run; with the pauses between them they take 1.5 s. */
const MAX_ORDERS = 5;
/** Pause before a lost order is repeated; it doubles. */
const ORDER_PAUSE_MS = 100;

/**
 * Asks an engine to stop a run whose stream has ended early and which is about
 * to start anew on `target`, as the route allows. Returns once the engine
 * answers, or after a short time without an answer. An order that is lost is
 * repeated, also after that.
 */
export async function stopAbandonedRun(
  dependencies: { readonly control: EngineControl; readonly logger: Logger },
  run: AbandonedRun & {
    readonly requestId: string;
    readonly target: AbandonedRun["source"];
    readonly maxWaitMs: number;
  },
): Promise<void> {
  const { control, logger } = dependencies;
  const { requestId, source, target } = run;
  const startedAtMs = monotonicMs();
  const log = (outcome: CopyOutcome | undefined) => {
    logger.info("run_stop", {
      request: requestId,
      source: source.runnerId,
      target: target.runnerId,
      outcome: outcome?.type ?? "no_answer_yet",
      proof: outcome && findStopProof(outcome, run),
      took_ms: monotonicMs() - startedAtMs,
    });
  };
  const stopping = orderUntilAnswered(async () => {
    // Only a final copy stops a run; the copy itself is not used.
    const outcome = await control.copyRun(source, {
      requestId,
      target,
      isFinal: true,
      timeoutMs: ANSWER_TIMEOUT_MS,
    });
    log(outcome);
    const handle = "handle" in outcome ? outcome.handle : undefined;
    if (handle !== undefined) {
      const { host, port } = source;
      void control.dropCopy({ host, port, handle });
    }
    return outcome;
  });
  const hasAnswered = await settleWithin(
    stopping,
    Math.max(0, Math.min(STOP_TIMEOUT_MS, run.maxWaitMs)),
  );
  if (!hasAnswered) log(undefined);
}

/** Resolves with true once an order is answered, with false if none is. */
async function orderUntilAnswered(
  order: () => Promise<CopyOutcome>,
): Promise<boolean> {
  for (let count = 1; ; count += 1) {
    const outcome = await order();
    if (!isLost(outcome)) return true;
    if (count === MAX_ORDERS) return false;
    await sleep(ORDER_PAUSE_MS * 2 ** (count - 1));
  }
}

// Whether the run may go on since the engine has not taken the order.
function isLost(outcome: CopyOutcome): boolean {
  switch (outcome.type) {
    case "copied":
    case "no_such_run":
    case "connection_refused":
      return false;
    case "refused":
      return outcome.handle === undefined;
    case "already_copying":
    case "no_response":
    case "unreachable":
      return true;
  }
}

function findStopProof(
  outcome: CopyOutcome,
  { hasStarted }: AbandonedRun,
): StopProof | undefined {
  switch (outcome.type) {
    case "copied":
      return "stop_answered";
    case "refused":
      return outcome.handle === undefined ? undefined : "stop_answered";
    case "no_such_run":
      // A request that waits or is in prefill is no run yet either.
      return hasStarted ? "no_such_run" : undefined;
    case "connection_refused":
    case "no_response":
    case "already_copying":
    case "unreachable":
      return undefined;
  }
}
