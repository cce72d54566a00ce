import { Agent, request, type Dispatcher } from "undici";
import type { InstanceList, Result } from "@jujubeladder/types";
import { describeError } from "@jujubeladder/utils";
import { instanceListSchema } from "./instance_list_schema.js";

const CONNECT_TIMEOUT_MS = 1_000;
/** Timeout for the head, on top of the long-poll wait, and for body data. */
const RESPONSE_TIMEOUT_MS = 2_000;

/** Result of a long poll: a new value, or none within the wait. */
type WatchResult<Value> =
  | { readonly type: "changed"; readonly value: Value }
  | { readonly type: "unchanged" };

/** Read-only client of the platform's configuration and instance list. */
export class PlatformClient {
  readonly #baseUrl: string;
  readonly #waitMs: number;
  readonly #dispatcher: Dispatcher;

  constructor(options: { readonly baseUrl: string; readonly waitMs: number }) {
    this.#baseUrl = options.baseUrl;
    this.#waitMs = options.waitMs;
    this.#dispatcher = new Agent({
      connect: { timeout: CONNECT_TIMEOUT_MS },
      headersTimeout: options.waitMs + RESPONSE_TIMEOUT_MS,
      bodyTimeout: RESPONSE_TIMEOUT_MS,
    });
  }

  /** Long poll for a document whose revision differs from the known one. */
  async watchConfig(
    knownRevision: number,
    signal: AbortSignal,
  ): Promise<Result<WatchResult<string>, string>> {
    const path = `/v1/configuration?known_revision=${knownRevision}`;
    return await this.#watch(path, signal);
  }

  /** Long poll for a list whose version differs from the known one. */
  async watchInstances(
    knownVersion: number,
    signal: AbortSignal,
  ): Promise<Result<WatchResult<InstanceList>, string>> {
    const path = `/v1/instances?known_version=${knownVersion}`;
    const watched = await this.#watch(path, signal);
    if (!watched.ok) return watched;
    if (watched.value.type === "unchanged") {
      return { ok: true, value: watched.value };
    }
    return parseInstanceList(watched.value.value);
  }

  async close(): Promise<void> {
    await this.#dispatcher.destroy();
  }

  async #watch(
    path: string,
    signal: AbortSignal,
  ): Promise<Result<WatchResult<string>, string>> {
    try {
      const url = `${this.#baseUrl}${path}&wait_ms=${this.#waitMs}`;
      const response = await request(url, {
        dispatcher: this.#dispatcher,
        signal,
      });
      const text = await response.body.text();
      switch (response.statusCode) {
        case 200:
          return { ok: true, value: { type: "changed", value: text } };
        case 204:
          return { ok: true, value: { type: "unchanged" } };
        default:
          return { ok: false, error: `status ${response.statusCode}` };
      }
    } catch (error) {
      return { ok: false, error: describeError(error) };
    }
  }
}

function parseInstanceList(
  text: string,
): Result<WatchResult<InstanceList>, string> {
  try {
    const value = instanceListSchema.parse(JSON.parse(text));
    return { ok: true, value: { type: "changed", value } };
  } catch (error) {
    return { ok: false, error: describeError(error) };
  }
}
