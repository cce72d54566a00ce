/** Strings and table entries of a header beside its characters. */
const BYTES_PER_HEADER = 64;

/** Estimates the memory of a parsed head; `headers` are names and values. */
export function estimateHeadBytes(headers: readonly string[]): number {
  const textBytes = headers.reduce((sum, { length }) => sum + length, 0);
  return textBytes + (headers.length / 2) * BYTES_PER_HEADER;
}
