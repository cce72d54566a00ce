import type { Result } from "@jujubeladder/types";
import type { RunnerConnection } from "./runner_connection.js";

/** Bound on an answer; above what a store's page may hold. */
const MAX_ANSWER_BYTES = 16 * 1_048_576;

/** A whole answer to a call. */
interface WholeAnswer {
  readonly statusCode: number;
  readonly body: Buffer;
}

/**
 * Makes one call on a connection and collects the answer. After an error the
 * connection is closed, since a late answer may still arrive on it.
 */
export async function callWhole(
  connection: RunnerConnection,
  call: {
    readonly method: string;
    readonly target: string;
    readonly headers: string[];
    readonly body: Buffer | null;
    readonly timeoutMs: number;
  },
): Promise<Result<WholeAnswer, string>> {
  return await new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let byteCount = 0;
    let statusCode = 0;
    const settle = (result: Result<WholeAnswer, string>) => {
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
        if (byteCount > MAX_ANSWER_BYTES) {
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
      onBroken: (reason) => {
        settle({ ok: false, error: reason });
      },
    });
  });
}
