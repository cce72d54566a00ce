import type { RunnerRate } from "@jujubeladder/protocol";
import type { SharedRateLimit } from "../model/shared_rate_limit.js";

const MAX_ID_LENGTH = 300;
const MAX_REQUESTS_PER_SECOND = 1e9;

/** Decodes a rate limit that a peer states; undefined if it is out of range. */
export function decodeRunnerRate(
  rate: RunnerRate | undefined,
): SharedRateLimit | undefined {
  if (!rate) return undefined;
  const { incarnationId, requestsPerSecond, ageMs, hasEnded } = rate;
  const isValid =
    incarnationId.length > 0 &&
    incarnationId.length <= MAX_ID_LENGTH &&
    requestsPerSecond >= 0 &&
    requestsPerSecond <= MAX_REQUESTS_PER_SECOND;
  return isValid
    ? { incarnationId, requestsPerSecond, ageMs, hasEnded }
    : undefined;
}
