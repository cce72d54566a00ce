import type { Logger } from "@jujubeladder/logger";
import { monotonicMs, settleWithin } from "@jujubeladder/utils";
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

/**
 * Asks an engine to stop a run whose stream has ended early and which is about
 * to start anew on `target`, as the route allows. Returns once the engine
 * answers, or after a short time without an answer.
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
  // Only a final copy stops a run; the copy itself is not used.
  const stopping = control
    .copyRun(source, {
      requestId,
      target,
      isFinal: true,
      timeoutMs: ANSWER_TIMEOUT_MS,
    })
    .then((outcome) => {
      log(outcome);
      const handle = "handle" in outcome ? outcome.handle : undefined;
      if (handle !== undefined) {
        const { host, port } = source;
        void control.dropCopy({ host, port, handle });
      }
      return outcome;
    });
  const outcome = await settleWithin(
    stopping,
    Math.max(0, Math.min(STOP_TIMEOUT_MS, run.maxWaitMs)),
  );
  if (!outcome) log(undefined);
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
