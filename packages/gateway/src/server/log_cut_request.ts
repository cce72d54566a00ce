import type { Logger } from "@jujubeladder/logger";
import { monotonicMs } from "@jujubeladder/utils";
import type { ActiveRequest } from "./active_request.js";

/** Logs a request whose connection is closed before its response is complete. */
export function logCutRequest(
  logger: Logger,
  { receivedAtMs, response, context }: ActiveRequest,
): void {
  const nowMs = monotonicMs();
  logger.warn("request_cut", {
    request: context?.request.requestId,
    route: context?.route.routeId,
    since_ms: nowMs - receivedAtMs,
    deadline_in_ms: context && context.deadlineAtMs - nowMs,
    is_head_sent: response.isHeadSent,
    expected_output_tokens: context?.request.work?.expectedOutputTokens,
  });
}
