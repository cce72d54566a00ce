import type { IncomingMessage } from "node:http";

/** How reading a caller's body ended. */
type BodyOutcome =
  | { readonly type: "whole"; readonly body: Buffer }
  | { readonly type: "too_large" }
  /** The caller broke off. */
  | { readonly type: "torn" };

/** Collects a caller's body up to a bound. */
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
      resolve({ type: "whole", body: Buffer.concat(chunks) });
    });
    request.on("close", () => {
      resolve({ type: "torn" });
    });
    request.on("error", () => {
      resolve({ type: "torn" });
    });
  });
}
