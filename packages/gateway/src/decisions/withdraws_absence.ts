import { compareStorePositions } from "../model/compare_store_positions.js";
import type { RunnerAbsence } from "../model/runner_absence.js";
import type { RunnerSighting } from "../model/runner_sighting.js";

/**
 * Tells whether a sighting shows that a runner has registered since it was
 * found absent. A list of a later era does not, unless the absence was never
 * confirmed: the store may have been restored from a copy that is older than the
 * removal.
 */
export function withdrawsAbsence(
  { type, asOf }: RunnerSighting,
  absence: RunnerAbsence,
): boolean {
  const order = compareStorePositions(asOf, absence.asOf);
  switch (type) {
    case "listing":
      return (
        order > 0 && (asOf.era === absence.asOf.era || !absence.isConfirmed)
      );
    case "change":
      // Changes of one batch share its position and are applied in order.
      return order >= 0;
  }
}
