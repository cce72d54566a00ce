import type { GenerationWork } from "../model/generation_work.js";
import { expectOutputTokens } from "./expect_output_tokens.js";

/** Time of one output token on a busy engine; from its data sheet. */
const TOKEN_MS = 11;
/** Time until the first token on a busy engine. */
const FIRST_TOKEN_MS = 600;
/** Work of a plain service takes well under a second. */
const PLAIN_MS = 800;

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
  return leftMs > FIRST_TOKEN_MS + expectOutputTokens(work) * TOKEN_MS;
}
