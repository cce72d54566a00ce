import type { Logger } from "@jujubeladder/logger";
import type { Result } from "@jujubeladder/types";
import { monotonicMs } from "@jujubeladder/utils";
import type { CallerRequest } from "../model/caller_request.js";
import type { Refusal } from "../model/refusal.js";
import type { RequestContext } from "../relay/request_context.js";
import type { CallerConnection } from "./caller_connection.js";

/** Logs what a stopping instance decided about a request that still arrived. */
export function logLateRequest(
  logger: Logger,
  request: CallerRequest,
  late: {
    readonly admitted: Result<RequestContext, Refusal>;
    /** On the monotonic clock. */
    readonly exitAtMs: number;
    readonly connection: CallerConnection | undefined;
  },
): void {
  const { admitted, exitAtMs, connection } = late;
  const nowMs = monotonicMs();
  logger.info("late_request", {
    request: request.requestId,
    is_admitted: admitted.ok,
    exit_in_ms: exitAtMs - nowMs,
    deadline_in_ms: admitted.ok
      ? admitted.value.deadlineAtMs - nowMs
      : undefined,
    expected_output_tokens: request.work?.expectedOutputTokens,
    connection: connection && (connection.requestCount > 1 ? "kept" : "new"),
    connection_age_ms: connection && nowMs - connection.openedAtMs,
  });
}
