import { monotonicMs } from "@jujubeladder/utils";
import { mayRetry } from "./may_retry.js";
import { remainingMs } from "./remaining_ms.js";
import type { RequestContext } from "./request_context.js";

/** Part of the gap that callers bear which is left to the resumed run. */
const RESUMPTION_MS = 500;
/** A run that may be repeated starts anew elsewhere without a proof after this. */
const REPEATABLE_CONFIRMATION_MS = 1_000;

/**
 * How long a run whose stream broke may wait for the proof that it has stopped,
 * so that it still goes on before its caller abandons it.
 */
export function findConfirmationMs(
  context: RequestContext,
  lastEventAtMs: number | undefined,
): number {
  const { retryPolicy } = context.route;
  const leftMs = remainingMs(context);
  if (mayRetry(retryPolicy))
    return Math.min(leftMs, REPEATABLE_CONFIRMATION_MS);
  if (retryPolicy.type !== "stream") return leftMs;
  const sinceMs = monotonicMs() - (lastEventAtMs ?? context.receivedAtMs);
  const bearsMs = retryPolicy.abandonGapMs - sinceMs - RESUMPTION_MS;
  return Math.max(0, Math.min(leftMs, bearsMs));
}
