import xxhash from "xxhash-wasm";

const { h32 } = await xxhash();

/** Returns a fast 32-bit hash; not for security. */
export function hashText(text: string): number {
  return h32(text);
}
