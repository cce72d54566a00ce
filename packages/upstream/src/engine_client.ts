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
import { readRefusal } from "./read_refusal.js";
import type { RunnerAddress } from "./runner_address.js";
import { runnerLoadSchema } from "./runner_load_schema.js";
import { SingleUseClient } from "./single_use_client.js";

const CONTROL_TIMEOUT_MS = 1_000;

type Method = "GET" | "POST" | "PUT" | "DELETE";

/** Talks to one model engine; each stream has a connection of its own. */
export class EngineClient {
  readonly #address: RunnerAddress;

  constructor(address: RunnerAddress) {
    this.#address = address;
  }

  /** Starts a generation under an id that the caller of this has chosen. */
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
          "x-generation-id": options.generationId,
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

  /** Reads a running or finished generation on from an offset. */
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

  /** Asks the engine to stop a generation; true when it has said so. */
  async cancelGeneration(generationId: string): Promise<boolean> {
    const path = `/v1/generations/${generationId}`;
    const answer = await this.#control("DELETE", path);
    return answer.ok && answer.value.statusCode < 300;
  }

  /** Reads the load report; the error says why there is none. */
  async readLoad(): Promise<Result<RunnerLoad, string>> {
    const answer = await this.#control("GET", "/v1/load");
    if (!answer.ok) return answer;
    const parsed = runnerLoadSchema.safeParse(parseJson(answer.value.text));
    return parsed.success
      ? { ok: true, value: parsed.data }
      : { ok: false, error: "the load report is malformed" };
  }

  /** Reads cache events after a sequence number. */
  async readCacheEvents(after: number): Promise<Result<CacheEvents, string>> {
    const path = `/v1/cache_events?after=${after}`;
    const answer = await this.#control("GET", path);
    if (!answer.ok) return answer;
    const parsed = cacheEventsSchema.safeParse(parseJson(answer.value.text));
    return parsed.success
      ? { ok: true, value: parsed.data }
      : { ok: false, error: "the cache events are malformed" };
  }

  /** Orders a state, fenced by a configuration revision. */
  async sendOrder(
    target: RunnerTarget,
    fence: number,
  ): Promise<Result<number, string>> {
    const body = JSON.stringify({ ...target, fence, when: "idle" });
    const answer = await this.#control("PUT", "/v1/orders", body);
    return answer.ok ? { ok: true, value: answer.value.statusCode } : answer;
  }

  async #control(
    method: Method,
    path: string,
    body?: string,
  ): Promise<
    Result<{ readonly statusCode: number; readonly text: string }, string>
  > {
    const connection = new SingleUseClient(this.#address, {
      headersTimeoutMs: CONTROL_TIMEOUT_MS,
      silenceMs: CONTROL_TIMEOUT_MS,
    });
    try {
      const answer = await connection.client.request({
        method,
        path,
        ...(body === undefined
          ? {}
          : { body, headers: { "content-type": "application/json" } }),
      });
      const text = await answer.body.text();
      return { ok: true, value: { statusCode: answer.statusCode, text } };
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
    const connection = new SingleUseClient(this.#address, {
      headersTimeoutMs: options.silenceMs,
      silenceMs: options.silenceMs,
    });
    try {
      const answer = await connection.client.request({
        ...request,
        signal: options.signal,
      });
      if (answer.statusCode === 200) {
        const close = () => {
          connection.close();
        };
        const events = readEngineEvents(answer.body, options.generationId);
        return { type: "opened", stream: { events, close } };
      }
      connection.close();
      const refusal = readRefusal(answer.headers);
      if (refusal) return { type: "refused", ...refusal };
      if (answer.statusCode === 404) return { type: "missing" };
      return { type: "unknown", reason: `status ${answer.statusCode}` };
    } catch (error) {
      const reason = describeError(error);
      const type = connection.isConnected ? "unknown" : "unreachable";
      connection.close();
      return { type, reason };
    }
  }
}
