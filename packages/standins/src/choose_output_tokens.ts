import { hashText } from "@jujubeladder/utils";

const REQUESTED_LENGTH = /len=(\d+)/;
const HASH_RANGE = 2 ** 32;
const TYPICAL_TOKENS = 40;
const MAX_TOKENS = 2_000;

/** Length that content asks for by `len=N`, or a heavy-tailed one. */
export function chooseOutputTokens(content: string, limit: number): number {
  const requested = REQUESTED_LENGTH.exec(content)?.[1];
  if (requested !== undefined) return Math.min(limit, Number(requested));
  const share = (hashText(content) + 1) / (HASH_RANGE + 1);
  const length = Math.round(TYPICAL_TOKENS / Math.sqrt(share));
  return Math.max(1, Math.min(limit, length, MAX_TOKENS));
}
