import { hash32 } from "@jujubeladder/utils";

/** Hashes a text to a number in [0, 1). */
export function hashToUnitInterval(text: string): number {
  return (hash32(text) >>> 0) / 2 ** 32;
}
