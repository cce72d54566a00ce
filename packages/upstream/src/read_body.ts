import type { ByteBudget } from "@jujubeladder/utils";

const INITIAL_BYTES = 4_096;

/** Reads a body to its end; throws if it or the budget has no room for more. */
export async function readBody(
  body: AsyncIterable<Uint8Array>,
  options: { readonly maxBytes: number; readonly budget?: ByteBudget },
): Promise<Uint8Array> {
  const { maxBytes, budget } = options;
  // One buffer that grows: a body in pieces of one byte costs no more.
  let buffer = new Uint8Array(0);
  let size = 0;
  try {
    for await (const chunk of body) {
      const endsAt = size + chunk.byteLength;
      if (endsAt > maxBytes) {
        throw new Error(`the body has more than ${maxBytes} bytes`);
      }
      if (endsAt > buffer.byteLength) {
        const capacity = Math.max(INITIAL_BYTES, endsAt, 2 * buffer.byteLength);
        if (budget && !budget.tryAcquire(capacity - buffer.byteLength)) {
          throw new Error("too many bytes of responses are buffered");
        }
        const grown = new Uint8Array(capacity);
        grown.set(buffer.subarray(0, size));
        buffer = grown;
      }
      buffer.set(chunk, size);
      size = endsAt;
    }
    return buffer.slice(0, size);
  } finally {
    budget?.release(buffer.byteLength);
  }
}
