import type { GenerationWork } from "../model/generation_work.js";

/** Time of one output token on a busy engine; from its data sheet. */
const TOKEN_MS = 11;
/** Time until the first token on a busy engine. */
const FIRST_TOKEN_MS = 600;
/** Work of a plain service takes well under a second. */
const PLAIN_MS = 800;
/** Share of the longest output that is assumed without an estimate. */
const UNKNOWN_LENGTH_SHARE = 0.5;

/**
 * True when a request that arrives while this instance stops will probably be
 * answered before it has to exit. One that won't is better refused at once, so
 * that its caller goes to another instance.
 */
export function fitsBeforeStop(
  work: GenerationWork | undefined,
  leftMs: number,
): boolean {
  if (!work) return leftMs > PLAIN_MS;
  const tokens =
    work.expectedOutputTokens ?? work.maxOutputTokens * UNKNOWN_LENGTH_SHARE;
  return leftMs > FIRST_TOKEN_MS + tokens * TOKEN_MS;
}
