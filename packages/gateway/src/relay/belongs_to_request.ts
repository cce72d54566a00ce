import type { RunnerResponse } from "../model/runner_response.js";

/** A runner states a refusal with a client or server error. */
const MIN_REFUSAL_STATUS = 400;

/**
 * True if the head of a response is the answer of the runner that the request
 * was meant for: it names the request or, for a refusal, may lack the id where
 * no earlier request can have caused it.
 */
export function belongsToRequest(
  head: RunnerResponse,
  requestId: string,
  { isReused }: { readonly isReused: boolean },
): boolean {
  if (head.execution === "wrong_runner") return false;
  if (head.requestId !== undefined) return head.requestId === requestId;
  const isRefusal =
    head.execution === "not_executed" && head.statusCode >= MIN_REFUSAL_STATUS;
  return isRefusal && !isReused;
}
