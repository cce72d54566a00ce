import prand from "pure-rand";

const RANGE = 2 ** 32;

/**
 * Returns a deterministic random generator: the same seed gives the same
 * sequence of numbers in [0, 1).
 */
export function createSeededRandom(seed: number): () => number {
  const generator = prand.xoroshiro128plus(seed);
  return () => {
    const value = prand.unsafeUniformIntDistribution(0, RANGE - 1, generator);
    return value / RANGE;
  };
}
