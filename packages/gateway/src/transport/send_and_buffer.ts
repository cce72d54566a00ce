import type { Result } from "@jujubeladder/types";
import type { ByteBudget } from "@jujubeladder/utils";
import { ByteCollector } from "./byte_collector.js";
import type { HttpConnection } from "./http_connection.js";
import type { ResponseSink } from "./response_sink.js";

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
    /** Limit for the response's body. */
    readonly maxBodyBytes: number;
    /** Memory for the body; that of the runners' responses if absent. */
    readonly memory?: ByteBudget;
    /** Called as soon as the head has arrived. */
    readonly onHead?: ResponseSink["onHead"];
  },
): Promise<Result<BufferedResponse, string>> {
  return await new Promise((resolve) => {
    const body = new ByteCollector(call.maxBodyBytes, call.memory);
    let statusCode = 0;
    let isSettled = false;
    const settle = (result: Result<BufferedResponse, string>) => {
      isSettled = true;
      clearTimeout(timer);
      body.clear();
      if (!result.ok) connection.close();
      resolve(result);
    };
    const timer = setTimeout(() => {
      settle({ ok: false, error: "the call timed out" });
    }, call.timeoutMs);
    connection.send(call, {
      onHead: (status, headers) => {
        statusCode = status;
        if (!isSettled) call.onHead?.(status, headers);
      },
      onData: (chunk) => {
        if (isSettled) return true;
        const error = body.append(chunk);
        if (error) settle({ ok: false, error });
        return true;
      },
      onEnd: () => {
        settle({ ok: true, value: { statusCode, body: body.bytes } });
      },
      onError: (reason) => {
        settle({ ok: false, error: reason });
      },
    });
  });
}
