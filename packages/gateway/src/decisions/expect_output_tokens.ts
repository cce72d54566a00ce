import type { GenerationWork } from "../model/generation_work.js";

/**
 * Share of the longest possible output that is assumed without an estimate;
 * half, as nothing is known.
 */
const UNKNOWN_LENGTH_SHARE = 0.5;

/** Output tokens to expect of a generation before it has begun. */
export function expectOutputTokens(work: GenerationWork): number {
  return (
    work.expectedOutputTokens ?? work.maxOutputTokens * UNKNOWN_LENGTH_SHARE
  );
}
