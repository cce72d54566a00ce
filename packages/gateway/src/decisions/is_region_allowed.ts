import type { AllowedRegions } from "../model/allowed_regions.js";

/** The one test of data residency: true if data may go to the region. */
export function isRegionAllowed(
  allowed: AllowedRegions,
  region: string,
): boolean {
  return allowed?.has(region) ?? true;
}
