import {
  ByteBudget,
  describeError,
  parseJson,
  probePort,
} from "@jujubeladder/utils";
import type { PlainOutcome } from "./plain_outcome.js";
import { readBody } from "./read_body.js";
import { readRefusal } from "./read_refusal.js";
import type { RunnerAddress } from "./runner_address.js";
import { SingleUseClient } from "./single_use_client.js";
import { toOrigin } from "./to_origin.js";

const ID_HEADER = "x-request-id";
const MAX_BODY_BYTES = 16 * 1_048_576;
const MAX_BUFFERED_BYTES = 256 * 1_048_576;
/** A longer request time-out extends it. */
const BODY_TIMEOUT_MS = 60_000;
const BODY_BUDGET = new ByteBudget(MAX_BUFFERED_BYTES);

/** A fully buffered HTTP call to a plain service. */
interface PlainCall {
  readonly requestId: string;
  readonly method: string;
  readonly path: string;
  readonly contentType: string | undefined;
  readonly body: Uint8Array;
}

/**
 * HTTP client of a plain service runner. Opens a new connection per call, so
 * that a non-idempotent call is never written to a stale connection.
 */
export class PlainServiceClient {
  readonly #address: RunnerAddress;

  constructor(address: RunnerAddress) {
    this.#address = address;
  }

  /** Fetches whether the runner is leaving; undefined if it is unknown. */
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

  /**
   * Makes the call without retries. `timeoutMs` limits the wait for the
   * headers and the time between body chunks; the whole body has limits of its
   * own.
   */
  async call(
    call: PlainCall,
    options: { readonly timeoutMs: number; readonly signal?: AbortSignal },
  ): Promise<PlainOutcome> {
    const connection = new SingleUseClient(toOrigin(this.#address), {
      headTimeoutMs: options.timeoutMs,
      silenceMs: options.timeoutMs,
      bodyTimeoutMs: Math.max(options.timeoutMs, BODY_TIMEOUT_MS),
    });
    const hasBody = call.body.length > 0;
    try {
      const response = await connection.request({
        method: call.method,
        path: call.path,
        headers: {
          [ID_HEADER]: call.requestId,
          ...(hasBody && call.contentType !== undefined
            ? { "content-type": call.contentType }
            : {}),
        },
        body: hasBody ? call.body : null,
        ...(options.signal ? { signal: options.signal } : {}),
      });
      const body = await readBody(response.body, {
        maxBytes: MAX_BODY_BYTES,
        budget: BODY_BUDGET,
      });
      const refusal = readRefusal(response, {
        idHeader: ID_HEADER,
        id: call.requestId,
      });
      if (refusal) return refusal;
      // A process that is killed ends its connections like one that is done.
      if (
        response.endsWithConnection &&
        (await probePort(this.#address)) !== "accepted"
      ) {
        const reason = "the connection ended with the runner's process";
        return { type: "unknown", reason };
      }
      const contentType = response.headers["content-type"];
      return {
        type: "answered",
        statusCode: response.statusCode,
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
