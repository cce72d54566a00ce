import type { IncomingMessage } from "node:http";

/** Result of reading a request body. */
type BodyOutcome =
  | { readonly type: "complete"; readonly body: Buffer }
  | { readonly type: "too_large" }
  /** The caller closed the connection before the end of the body. */
  | { readonly type: "aborted" };

/** Buffers a request body of at most `maxBytes` bytes. */
export async function readBody(
  request: IncomingMessage,
  maxBytes: number,
): Promise<BodyOutcome> {
  const declared = Number(request.headers["content-length"] ?? 0);
  if (declared > maxBytes) return { type: "too_large" };
  return await new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let byteCount = 0;
    request.on("data", (chunk: Buffer) => {
      byteCount += chunk.length;
      if (byteCount > maxBytes) {
        request.pause();
        resolve({ type: "too_large" });
        return;
      }
      chunks.push(chunk);
    });
    request.on("end", () => {
      resolve({ type: "complete", body: Buffer.concat(chunks) });
    });
    request.on("close", () => {
      resolve({ type: "aborted" });
    });
    request.on("error", () => {
      resolve({ type: "aborted" });
    });
  });
}
