import type { Logger } from "@jujubeladder/logger";
import { monotonicMs } from "@jujubeladder/utils";
import type { GatewayRunner } from "../model/gateway_runner.js";
import { toIncarnationId } from "../model/to_incarnation_id.js";
import type { AttemptOutcome } from "./attempt_outcome.js";
import type { RelayProgress } from "./relay_progress.js";
import type { RequestContext } from "./request_context.js";

/** Logs the outcome of one attempt. */
export function logAttempt(
  logger: Logger,
  context: RequestContext,
  attempt: {
    readonly runner: GatewayRunner;
    readonly outcome: AttemptOutcome;
    readonly progress: RelayProgress;
  },
): void {
  const { runner, outcome, progress } = attempt;
  const connection = progress.lastConnection;
  logger.info("attempt", {
    request: context.request.requestId,
    route: context.route.routeId,
    runner: runner.runnerId,
    incarnation: toIncarnationId(runner),
    zone: runner.availabilityZone,
    software_version: runner.softwareVersion,
    send_count: progress.sendCount,
    outcome: progress.continueAt ? "moved" : outcome.type,
    connection: connection && (connection.isReused ? "kept" : "new"),
    sent_bytes: connection?.sentBytes ?? 0,
    ended_by: connection?.endedBy,
    reason: "reason" in outcome ? outcome.reason : undefined,
    continues_at: progress.continueAt?.runner.runnerId,
    config_version: context.configVersion,
    since_ms: monotonicMs() - context.receivedAtMs,
  });
}
