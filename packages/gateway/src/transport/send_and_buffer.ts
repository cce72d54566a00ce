import type { Result } from "@jujubeladder/types";
import type { HttpConnection } from "./http_connection.js";

/** Limit on a response body; larger than any page of the store. */
const MAX_RESPONSE_BYTES = 16 * 1_048_576;

/** A response with its body buffered. */
interface BufferedResponse {
  readonly statusCode: number;
  readonly body: Buffer;
}

/**
 * Sends one request on a connection and buffers the response. Closes the
 * connection after an error, since a late response may still arrive on it.
 */
export async function sendAndBuffer(
  connection: HttpConnection,
  call: {
    readonly method: string;
    readonly target: string;
    readonly headers: string[];
    readonly body: Buffer | null;
    readonly timeoutMs: number;
  },
): Promise<Result<BufferedResponse, string>> {
  return await new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let byteCount = 0;
    let statusCode = 0;
    const settle = (result: Result<BufferedResponse, string>) => {
      clearTimeout(timer);
      if (!result.ok) connection.close();
      resolve(result);
    };
    const timer = setTimeout(() => {
      settle({ ok: false, error: "the call timed out" });
    }, call.timeoutMs);
    connection.send(call, {
      onHead: (status) => {
        statusCode = status;
      },
      onData: (chunk) => {
        byteCount += chunk.length;
        if (byteCount > MAX_RESPONSE_BYTES) {
          settle({ ok: false, error: "the answer is too long" });
        }
        chunks.push(chunk);
        return true;
      },
      onEnd: () => {
        settle({
          ok: true,
          value: { statusCode, body: Buffer.concat(chunks) },
        });
      },
      onError: (reason) => {
        settle({ ok: false, error: reason });
      },
    });
  });
}
