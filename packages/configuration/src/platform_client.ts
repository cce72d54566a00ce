import type { InstanceList, Result } from "@jujubeladder/types";
import { readBody, SingleUseClient } from "@jujubeladder/upstream";
import { describeError } from "@jujubeladder/utils";
import { parseInstanceList } from "./parse_instance_list.js";

/** Timeout for the head, on top of the long-poll wait, and for body data. */
const RESPONSE_TIMEOUT_MS = 2_000;
const BODY_TIMEOUT_MS = 10_000;
const MAX_BODY_BYTES = 16 * 1_048_576;

/** Result of a long poll: a new value, or none within the wait. */
type WatchResult<Value> =
  | { readonly type: "changed"; readonly value: Value }
  | { readonly type: "unchanged" };

/** Read-only client of the platform's configuration and instance list. */
export class PlatformClient {
  readonly #baseUrl: string;
  readonly #waitMs: number;
  readonly #connections = new Set<SingleUseClient>();

  constructor(options: { readonly baseUrl: string; readonly waitMs: number }) {
    this.#baseUrl = options.baseUrl;
    this.#waitMs = options.waitMs;
  }

  /** Long poll for a document whose revision differs from the known one. */
  async watchConfig(
    knownRevision: number,
    signal: AbortSignal,
  ): Promise<Result<WatchResult<string>, string>> {
    const path = `/v1/configuration?known_revision=${knownRevision}`;
    return await this.#watch(path, signal);
  }

  /**
   * Long poll for a list whose version differs from the known one; `refused`
   * says which of its entries are left out, and why.
   */
  async watchInstances(
    knownVersion: number,
    signal: AbortSignal,
  ): Promise<
    Result<
      WatchResult<{
        readonly list: InstanceList;
        readonly refused: readonly string[];
      }>,
      string
    >
  > {
    const path = `/v1/instances?known_version=${knownVersion}`;
    const watched = await this.#watch(path, signal);
    if (!watched.ok) return watched;
    if (watched.value.type === "unchanged") {
      return { ok: true, value: watched.value };
    }
    const parsed = parseInstanceList(watched.value.value);
    return parsed.ok
      ? { ok: true, value: { type: "changed", value: parsed.value } }
      : parsed;
  }

  /** Ends all calls. */
  close(): void {
    for (const connection of this.#connections) connection.close();
  }

  async #watch(
    path: string,
    signal: AbortSignal,
  ): Promise<Result<WatchResult<string>, string>> {
    const url = new URL(`${this.#baseUrl}${path}&wait_ms=${this.#waitMs}`);
    const connection = new SingleUseClient(url.origin, {
      headTimeoutMs: this.#waitMs + RESPONSE_TIMEOUT_MS,
      silenceMs: RESPONSE_TIMEOUT_MS,
      bodyTimeoutMs: BODY_TIMEOUT_MS,
    });
    this.#connections.add(connection);
    try {
      const response = await connection.request({
        method: "GET",
        path: `${url.pathname}${url.search}`,
        signal,
      });
      const body = await readBody(response.body, { maxBytes: MAX_BODY_BYTES });
      const text = new TextDecoder().decode(body);
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
    } finally {
      this.#connections.delete(connection);
      connection.close();
    }
  }
}
