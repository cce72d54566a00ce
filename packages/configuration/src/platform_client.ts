import { Agent, request, type Dispatcher } from "undici";
import type { InstanceList, Result } from "@jujubeladder/types";
import { describeError } from "@jujubeladder/utils";
import { instanceListSchema } from "./instance_list_schema.js";

const CONNECT_TIMEOUT_MS = 1_000;
const ANSWER_SLACK_MS = 2_000;

/** A newer value, or word that the known one still stands. */
type Watched<Value> =
  | { readonly type: "changed"; readonly value: Value }
  | { readonly type: "unchanged" };

/** Reads and watches the platform's service; never writes to it. */
export class PlatformClient {
  readonly #baseUrl: string;
  readonly #waitMs: number;
  readonly #dispatcher: Dispatcher;

  constructor(options: { readonly baseUrl: string; readonly waitMs: number }) {
    this.#baseUrl = options.baseUrl;
    this.#waitMs = options.waitMs;
    this.#dispatcher = new Agent({
      connect: { timeout: CONNECT_TIMEOUT_MS },
      headersTimeout: options.waitMs + ANSWER_SLACK_MS,
      bodyTimeout: ANSWER_SLACK_MS,
    });
  }

  /** Waits for a document other than the known revision. */
  async watchConfig(
    knownRevision: number,
    signal: AbortSignal,
  ): Promise<Result<Watched<string>, string>> {
    const path = `/v1/configuration?known_revision=${knownRevision}`;
    return await this.#watch(path, signal);
  }

  /** Waits for a list other than the known version. */
  async watchInstances(
    knownVersion: number,
    signal: AbortSignal,
  ): Promise<Result<Watched<InstanceList>, string>> {
    const path = `/v1/instances?known_version=${knownVersion}`;
    const answer = await this.#watch(path, signal);
    if (!answer.ok) return answer;
    if (answer.value.type === "unchanged") {
      return { ok: true, value: answer.value };
    }
    return parseInstanceList(answer.value.value);
  }

  async close(): Promise<void> {
    await this.#dispatcher.destroy();
  }

  async #watch(
    path: string,
    signal: AbortSignal,
  ): Promise<Result<Watched<string>, string>> {
    try {
      const url = `${this.#baseUrl}${path}&wait_ms=${this.#waitMs}`;
      const answer = await request(url, {
        dispatcher: this.#dispatcher,
        signal,
      });
      const text = await answer.body.text();
      switch (answer.statusCode) {
        case 200:
          return { ok: true, value: { type: "changed", value: text } };
        case 204:
          return { ok: true, value: { type: "unchanged" } };
        default:
          return { ok: false, error: `status ${answer.statusCode}` };
      }
    } catch (error) {
      return { ok: false, error: describeError(error) };
    }
  }
}

function parseInstanceList(
  text: string,
): Result<Watched<InstanceList>, string> {
  try {
    const value = instanceListSchema.parse(JSON.parse(text));
    return { ok: true, value: { type: "changed", value } };
  } catch (error) {
    return { ok: false, error: describeError(error) };
  }
}
