import type { AllowedRegions } from "../model/allowed_regions.js";

/**
 * Combines the restrictions of a route and a team, all of which bind: a region
 * must be in each list. An empty or absent list restricts nothing.
 */
export function combineAllowedRegions(
  lists: readonly (readonly string[] | undefined)[],
): AllowedRegions {
  let allowed: AllowedRegions;
  for (const list of lists) {
    if (!list || list.length === 0) continue;
    const known = allowed;
    allowed = new Set(known ? list.filter((name) => known.has(name)) : list);
  }
  return allowed;
}
