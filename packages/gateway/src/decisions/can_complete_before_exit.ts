import type { GenerationWork } from "../model/generation_work.js";
import { estimateOutputTokens } from "./estimate_output_tokens.js";

/** Time per output token on a busy engine, from its data sheet. */
const PER_TOKEN_MS = 11;
/** Time to the first token on a busy engine. */
const FIRST_TOKEN_MS = 600;
/** Requests to plain services take well under a second. */
const PLAIN_REQUEST_MS = 800;

/**
 * Returns whether a request that arrives while this instance is stopping will
 * probably complete before it exits. One that won't is refused at once, so that
 * its caller goes to another instance.
 */
export function canCompleteBeforeExit(
  work: GenerationWork | undefined,
  leftMs: number,
): boolean {
  if (!work) return leftMs > PLAIN_REQUEST_MS;
  return leftMs > FIRST_TOKEN_MS + estimateOutputTokens(work) * PER_TOKEN_MS;
}
