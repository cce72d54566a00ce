import type { StorePosition } from "./store_position.js";

/** Orders positions by era, then by revision; negative if `a` is the earlier. */
export function compareStorePositions(
  a: StorePosition,
  b: StorePosition,
): number {
  return a.era - b.era || a.revision - b.revision;
}
