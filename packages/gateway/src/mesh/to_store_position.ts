import type { StorePosition } from "../model/store_position.js";

/**
 * Reads a position from a peer's message; undefined if it is out of range. An
 * instance that knows of no eras tells only a revision, which counts as of
 * `defaultEra`: in the era 0, all that it says would be too old to use while
 * instances are replaced.
 */
export function toStorePosition(
  {
    era,
    revision,
  }: { readonly era: bigint | undefined; readonly revision: bigint },
  defaultEra: number,
): StorePosition | undefined {
  const position = {
    era: era === undefined ? defaultEra : Number(era),
    revision: Number(revision),
  };
  return Object.values(position).every(Number.isSafeInteger)
    ? position
    : undefined;
}
