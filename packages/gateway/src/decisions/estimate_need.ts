import type { GenerationWork } from "../model/generation_work.js";
import { expectOutputTokens } from "./expect_output_tokens.js";

/** A run that has passed its estimate is taken to go on by this share. */
const OVERRUN_SHARE = 0.25;

/** Tokens of memory that a generation is expected to need at its end. */
export function estimateNeed(
  work: GenerationWork,
  producedTokens: number,
): number {
  const expected = expectOutputTokens(work);
  const likely = Math.max(expected, producedTokens * (1 + OVERRUN_SHARE));
  const output = Math.min(
    Math.max(work.maxOutputTokens, producedTokens),
    likely,
  );
  return work.promptTokens + output;
}
