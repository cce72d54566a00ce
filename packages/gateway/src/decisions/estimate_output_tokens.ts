import type { GenerationWork } from "../model/generation_work.js";

/**
 * Share of the maximum output that is assumed without an estimate. Nothing is
 * known about its length, hence half.
 */
const DEFAULT_OUTPUT_SHARE = 0.5;

/** Estimates the output tokens of a generation that has not started. */
export function estimateOutputTokens(work: GenerationWork): number {
  return (
    work.expectedOutputTokens ?? work.maxOutputTokens * DEFAULT_OUTPUT_SHARE
  );
}
