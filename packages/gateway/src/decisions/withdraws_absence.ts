import { compareStorePositions } from "../model/compare_store_positions.js";
import type { RunnerSighting } from "../model/runner_sighting.js";
import type { StorePosition } from "../model/store_position.js";

/**
 * Tells whether a sighting shows that a runner has registered since it was
 * found absent. A list of a later era does not: the store may have been
 * restored from a copy that is older than the removal.
 */
export function withdrawsAbsence(
  { type, asOf }: RunnerSighting,
  absentAsOf: StorePosition,
): boolean {
  const order = compareStorePositions(asOf, absentAsOf);
  switch (type) {
    case "listing":
      return order > 0 && asOf.era === absentAsOf.era;
    case "change":
      // Changes of one batch share its position and are applied in order.
      return order >= 0;
  }
}
