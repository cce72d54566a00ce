import { monotonicMs } from "@jujubeladder/utils";
import { remainingMs } from "./remaining_ms.js";
import type { RequestContext } from "./request_context.js";

/** Time that a resumed run takes to its first event. */
const RESUMPTION_MS = 500;

/**
 * How long a stream that broke may wait for the proof that its run stopped, so
 * that it still goes on before its caller abandons it.
 */
export function findConfirmationMs(
  context: RequestContext,
  lastEventAtMs: number | undefined,
): number {
  const { route, receivedAtMs } = context;
  const leftMs = remainingMs(context);
  if (route.retryPolicy.type !== "stream") return leftMs;
  const sinceMs = monotonicMs() - (lastEventAtMs ?? receivedAtMs);
  const bearsMs = route.retryPolicy.abandonGapMs - sinceMs - RESUMPTION_MS;
  return Math.max(0, Math.min(leftMs, bearsMs));
}
