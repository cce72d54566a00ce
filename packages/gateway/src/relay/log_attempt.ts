import type { Logger } from "@jujubeladder/logger";
import { monotonicMs } from "@jujubeladder/utils";
import type { GatewayRunner } from "../model/gateway_runner.js";
import type { AttemptOutcome } from "./attempt_outcome.js";
import type { RelayProgress } from "./relay_progress.js";
import type { RequestContext } from "./request_context.js";

/** Writes the line of one attempt. */
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
    offer: progress.offers,
    outcome: progress.continueAt ? "moved" : outcome.type,
    reason: "reason" in outcome ? outcome.reason : undefined,
    goes_on_at: progress.continueAt?.runner.runnerId,
    config_version: context.configVersion,
    since_ms: monotonicMs() - context.receivedAtMs,
  });
}
