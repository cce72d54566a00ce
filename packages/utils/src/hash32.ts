import xxhash from "xxhash-wasm";

const { h32 } = await xxhash();

/** Returns a fast 32-bit hash (xxHash32); not cryptographic. */
export function hash32(text: string): number {
  return h32(text);
}
