import type { GenerationWork } from "../model/generation_work.js";

/** Lists the prompt parts of a generation that others may have in common. */
export function listSharedParts(
  work: GenerationWork | undefined,
): readonly string[] {
  return work?.prefixParts.slice(0, -1).map(({ partId }) => partId) ?? [];
}
