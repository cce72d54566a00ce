import type { Logger } from "@jujubeladder/logger";
import { monotonicMs } from "@jujubeladder/utils";
import type { GatewayRunner } from "../model/gateway_runner.js";
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
  logger.info("attempt", {
    request: context.request.requestId,
    route: context.route.routeId,
    runner: runner.runnerId,
    zone: runner.availabilityZone,
    send_count: progress.sendCount,
    outcome: progress.continueAt ? "moved" : outcome.type,
    reason: "reason" in outcome ? outcome.reason : undefined,
    continues_at: progress.continueAt?.runner.runnerId,
    config_version: context.configVersion,
    since_ms: monotonicMs() - context.receivedAtMs,
  });
}
