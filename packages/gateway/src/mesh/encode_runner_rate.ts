import type { MessageInitShape } from "@bufbuild/protobuf";
import type { RunnerRateSchema } from "@jujubeladder/protocol";
import type { SharedRateLimit } from "../model/shared_rate_limit.js";

/** Encodes a rate limit for a peer. */
export function encodeRunnerRate(
  limit: SharedRateLimit,
): MessageInitShape<typeof RunnerRateSchema> {
  return { ...limit, ageMs: Math.round(limit.ageMs) };
}
