import type { Logger } from "@jujubeladder/logger";
import type { Metrics } from "@jujubeladder/metrics";
import type { RelayProgress } from "./relay_progress.js";
import type { RequestContext } from "./request_context.js";
import type { StreamSession } from "./stream_session.js";

/** Logs a stream that has ended and records its latency metrics. */
export function recordStream(
  dependencies: { readonly metrics: Metrics; readonly logger: Logger },
  context: RequestContext,
  stream: {
    readonly session: StreamSession;
    readonly progress: RelayProgress;
  },
): void {
  const { session, progress } = stream;
  const { firstEventAtMs, longestGapMs } = session;
  const firstEventMs =
    firstEventAtMs === undefined
      ? undefined
      : firstEventAtMs - context.receivedAtMs;
  if (firstEventMs !== undefined) {
    dependencies.metrics.record("first_token_ms", firstEventMs);
    dependencies.metrics.record("token_gap_ms", longestGapMs);
  }
  dependencies.logger.info("stream", {
    request: context.request.requestId,
    route: context.route.routeId,
    resumes: context.request.resumedRequestId,
    last_event_id: context.request.lastEventId,
    events: session.eventCount,
    send_count: progress.sendCount,
    first_event_ms: firstEventMs,
    longest_gap_ms: longestGapMs,
  });
}
