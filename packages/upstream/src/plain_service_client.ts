import { describeError, parseJson } from "@jujubeladder/utils";
import type { PlainOutcome } from "./plain_outcome.js";
import { readRefusal } from "./read_refusal.js";
import type { RunnerAddress } from "./runner_address.js";
import { SingleUseClient } from "./single_use_client.js";

/** A call of a plain service, ready to be written once. */
interface PlainCall {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: Uint8Array;
}

/**
 * Calls one plain service on a fresh connection, so that no byte of a
 * non-idempotent call goes into a connection that may be dead.
 */
export class PlainServiceClient {
  readonly #address: RunnerAddress;

  constructor(address: RunnerAddress) {
    this.#address = address;
  }

  /** Asks whether the runner is leaving; undefined without an answer. */
  async readIsLeaving(timeoutMs: number): Promise<boolean | undefined> {
    const outcome = await this.call(
      {
        requestId: "",
        method: "GET",
        path: "/v1/load",
        contentType: undefined,
        body: new Uint8Array(),
      },
      { timeoutMs },
    );
    if (outcome.type === "refused") return outcome.isLeaving;
    if (outcome.type !== "answered") return undefined;
    const load = parseJson(new TextDecoder().decode(outcome.body));
    return (load as { isLeaving?: boolean } | undefined)?.isLeaving;
  }

  /** Calls once; never retries. `timeoutMs` bounds the wait for headers. */
  async call(
    call: PlainCall,
    options: { readonly timeoutMs: number; readonly signal?: AbortSignal },
  ): Promise<PlainOutcome> {
    const connection = new SingleUseClient(this.#address, {
      headersTimeoutMs: options.timeoutMs,
      silenceMs: options.timeoutMs,
    });
    const hasBody = call.body.length > 0;
    try {
      const answer = await connection.client.request({
        method: call.method,
        path: call.path,
        headers: {
          "x-request-id": call.requestId,
          ...(hasBody && call.contentType !== undefined
            ? { "content-type": call.contentType }
            : {}),
        },
        body: hasBody ? call.body : null,
        ...(options.signal ? { signal: options.signal } : {}),
      });
      const body = new Uint8Array(await answer.body.arrayBuffer());
      const refusal = readRefusal(answer.headers);
      if (refusal) return { type: "refused", ...refusal };
      const contentType = answer.headers["content-type"];
      return {
        type: "answered",
        statusCode: answer.statusCode,
        contentType:
          typeof contentType === "string"
            ? contentType
            : "application/octet-stream",
        body,
      };
    } catch (error) {
      const type = connection.isConnected ? "unknown" : "unreachable";
      return { type, reason: describeError(error) };
    } finally {
      connection.close();
    }
  }
}
