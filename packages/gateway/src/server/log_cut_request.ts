import type { Logger } from "@jujubeladder/logger";
import { monotonicMs } from "@jujubeladder/utils";
import type { ActiveRequest } from "./active_request.js";

/** Logs a request whose response a stopping instance cuts. */
export function logCutRequest(
  logger: Logger,
  { receivedAtMs, context }: ActiveRequest,
): void {
  const nowMs = monotonicMs();
  logger.warn("request_cut", {
    request: context?.request.requestId,
    route: context?.route.routeId,
    since_ms: nowMs - receivedAtMs,
    deadline_in_ms: context && context.deadlineAtMs - nowMs,
    expected_output_tokens: context?.request.work?.expectedOutputTokens,
  });
}
