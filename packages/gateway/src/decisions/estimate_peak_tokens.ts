import type { GenerationWork } from "../model/generation_work.js";
import { estimateOutputTokens } from "./estimate_output_tokens.js";

/** Further output assumed for a run that has exceeded its estimate. */
const OVERRUN_SHARE = 0.25;

/** Estimates the KV cache, in tokens, that a generation needs when it ends. */
export function estimatePeakTokens(
  work: GenerationWork,
  producedTokens: number,
): number {
  const expected = estimateOutputTokens(work);
  const likely = Math.max(expected, producedTokens * (1 + OVERRUN_SHARE));
  const output = Math.min(
    Math.max(work.maxOutputTokens, producedTokens),
    likely,
  );
  return work.promptTokens + output;
}
