import type { Dispatcher } from "undici";
import type {
  GenerationRequest,
  Result,
  RunnerLoad,
  RunnerTarget,
} from "@jujubeladder/types";
import { describeError, parseJson } from "@jujubeladder/utils";
import type { CacheEvents } from "./cache_events.js";
import { cacheEventsSchema } from "./cache_events_schema.js";
import type { OpenOutcome } from "./open_outcome.js";
import { readEngineEvents } from "./read_engine_events.js";
import { readBody } from "./read_body.js";
import { readRefusal } from "./read_refusal.js";
import type { RunnerAddress } from "./runner_address.js";
import { runnerLoadSchema } from "./runner_load_schema.js";
import { SingleUseClient } from "./single_use_client.js";
import { toOrigin } from "./to_origin.js";

const CONTROL_TIMEOUT_MS = 1_000;
const CONTROL_BODY_TIMEOUT_MS = 2_000;
const MAX_CONTROL_BYTES = 1_048_576;
const ID_HEADER = "x-generation-id";

type Method = "GET" | "POST" | "PUT" | "DELETE";

/** HTTP client of one model engine; opens a new connection per request. */
export class EngineClient {
  readonly #address: RunnerAddress;

  constructor(address: RunnerAddress) {
    this.#address = address;
  }

  /** Starts a generation under an id chosen by the caller. */
  async openGeneration(
    request: GenerationRequest,
    options: {
      readonly generationId: string;
      readonly priority: number;
      readonly prefixKey: string;
      readonly silenceMs: number;
      readonly signal: AbortSignal;
    },
  ): Promise<OpenOutcome> {
    return await this.#openStream(
      {
        method: "POST",
        path: "/v1/chat/completions",
        headers: {
          "content-type": "application/json",
          [ID_HEADER]: options.generationId,
          "x-priority": String(options.priority),
          "x-prefix-key": options.prefixKey,
        },
        body: JSON.stringify({
          model: request.serviceId,
          messages: request.messages,
          max_tokens: request.maxTokens,
          stream: true,
        }),
      },
      options,
    );
  }

  /** Resumes reading a running or finished generation at a token offset. */
  async resumeGeneration(
    generationId: string,
    options: {
      readonly offset: number;
      readonly silenceMs: number;
      readonly signal: AbortSignal;
    },
  ): Promise<OpenOutcome> {
    const path = `/v1/generations/${generationId}/stream`;
    return await this.#openStream(
      { method: "GET", path: `${path}?offset=${options.offset}` },
      { ...options, generationId },
    );
  }

  /** Cancels a generation; true if the engine confirmed it. */
  async cancelGeneration(generationId: string): Promise<boolean> {
    const path = `/v1/generations/${generationId}`;
    const response = await this.#sendControlRequest("DELETE", path);
    return response.ok && response.value.statusCode < 300;
  }

  /** Fetches the load report; on failure, the error is the reason. */
  async readLoad(): Promise<Result<RunnerLoad, string>> {
    const response = await this.#sendControlRequest("GET", "/v1/load");
    if (!response.ok) return response;
    const parsed = runnerLoadSchema.safeParse(parseJson(response.value.text));
    return parsed.success
      ? { ok: true, value: parsed.data }
      : { ok: false, error: "the load report is malformed" };
  }

  /** Fetches the cache events that follow a sequence number. */
  async readCacheEvents(after: number): Promise<Result<CacheEvents, string>> {
    const path = `/v1/cache_events?after=${after}`;
    const response = await this.#sendControlRequest("GET", path);
    if (!response.ok) return response;
    const parsed = cacheEventsSchema.safeParse(parseJson(response.value.text));
    return parsed.success
      ? { ok: true, value: parsed.data }
      : { ok: false, error: "the cache events are malformed" };
  }

  /**
   * Sends the target state, to be applied when the engine is idle. The fence
   * is a configuration revision, by which the engine rejects outdated orders.
   * Returns the HTTP status.
   */
  async sendOrder(
    target: RunnerTarget,
    fence: number,
  ): Promise<Result<number, string>> {
    const body = JSON.stringify({ ...target, fence, when: "idle" });
    const response = await this.#sendControlRequest("PUT", "/v1/orders", body);
    return response.ok
      ? { ok: true, value: response.value.statusCode }
      : response;
  }

  async #sendControlRequest(
    method: Method,
    path: string,
    body?: string,
  ): Promise<
    Result<{ readonly statusCode: number; readonly text: string }, string>
  > {
    const connection = new SingleUseClient(toOrigin(this.#address), {
      headTimeoutMs: CONTROL_TIMEOUT_MS,
      silenceMs: CONTROL_TIMEOUT_MS,
      bodyTimeoutMs: CONTROL_BODY_TIMEOUT_MS,
    });
    try {
      const response = await connection.request({
        method,
        path,
        ...(body === undefined
          ? {}
          : { body, headers: { "content-type": "application/json" } }),
      });
      const bytes = await readBody(response.body, {
        maxBytes: MAX_CONTROL_BYTES,
      });
      const text = new TextDecoder().decode(bytes);
      return { ok: true, value: { statusCode: response.statusCode, text } };
    } catch (error) {
      return { ok: false, error: describeError(error) };
    } finally {
      connection.close();
    }
  }

  async #openStream(
    request: Dispatcher.RequestOptions,
    options: {
      readonly generationId: string;
      readonly silenceMs: number;
      readonly signal: AbortSignal;
    },
  ): Promise<OpenOutcome> {
    const connection = new SingleUseClient(toOrigin(this.#address), {
      headTimeoutMs: options.silenceMs,
      silenceMs: options.silenceMs,
    });
    try {
      const response = await connection.request({
        ...request,
        signal: options.signal,
      });
      if (response.statusCode === 200) {
        const close = () => {
          connection.close();
        };
        const events = readEngineEvents(response.body, options.generationId);
        return { type: "opened", stream: { events, close } };
      }
      connection.close();
      const refusal = readRefusal(response, {
        idHeader: ID_HEADER,
        id: options.generationId,
      });
      if (refusal) return refusal;
      if (response.statusCode === 404) return { type: "missing" };
      return { type: "unknown", reason: `status ${response.statusCode}` };
    } catch (error) {
      const reason = describeError(error);
      const type = connection.isConnected ? "unknown" : "unreachable";
      connection.close();
      return { type, reason };
    }
  }
}
