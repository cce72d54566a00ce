import { hash32 } from "@jujubeladder/utils";

const REQUESTED_LENGTH = /len=(\d+)/;
const HASH_RANGE = 2 ** 32;
/** Minimum of the Pareto distribution (shape 2) of output lengths. */
const PARETO_SCALE_TOKENS = 40;
const MAX_TOKENS = 2_000;

/**
 * Returns the output length that `content` requests by `len=N`, or else one
 * taken from a heavy-tailed distribution by the content's hash. The result is
 * at most `limit`.
 */
export function chooseOutputTokens(content: string, limit: number): number {
  const requested = REQUESTED_LENGTH.exec(content)?.[1];
  if (requested !== undefined) return Math.min(limit, Number(requested));
  const uniform = (hash32(content) + 1) / (HASH_RANGE + 1);
  const length = Math.round(PARETO_SCALE_TOKENS / Math.sqrt(uniform));
  return Math.max(1, Math.min(limit, length, MAX_TOKENS));
}
