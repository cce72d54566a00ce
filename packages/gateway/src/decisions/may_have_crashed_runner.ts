import { PROMPT_SURVIVAL_MS } from "./prompt_survival_ms.js";

/**
 * Returns whether an interrupted request may be the one that crashed its runner.
 * `writingForMs` is undefined before the first event.
 */
export function mayHaveCrashedRunner(
  writingForMs: number | undefined,
): boolean {
  return writingForMs === undefined || writingForMs < PROMPT_SURVIVAL_MS;
}
