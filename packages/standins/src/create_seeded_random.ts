import prand from "pure-rand";

const RANGE = 2 ** 32;

/** Returns a generator of numbers from 0 up to 1, the same for one seed. */
export function createSeededRandom(seed: number): () => number {
  const generator = prand.xoroshiro128plus(seed);
  return () => {
    const value = prand.unsafeUniformIntDistribution(0, RANGE - 1, generator);
    return value / RANGE;
  };
}
