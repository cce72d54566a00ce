import { createParser } from "eventsource-parser";
import { Client, type Dispatcher } from "undici";
import type { RecordedResponse } from "./recorded_response.js";
import type { RecordedStream } from "./recorded_stream.js";

const NO_TIMEOUT = 0;

interface Chunk {
  readonly error?: { readonly type: string };
  readonly choices?: readonly {
    readonly delta: { readonly content?: string };
  }[];
}

/** An API client of one team that turns responses into records. */
export class Caller {
  readonly #teamId: string;

  constructor(teamId: string) {
    this.#teamId = teamId;
  }

  /** Mints a ticket; returns an empty string if none is issued. */
  async mintTicket(url: string): Promise<string> {
    const response = await this.#request(url, {
      method: "POST",
      path: "/v1/tickets",
      body: JSON.stringify({ service: "filing", path: "/submissions" }),
    });
    const body = JSON.parse(response?.body ?? "{}") as { ticket?: string };
    return body.ticket ?? "";
  }

  async putTicket(
    url: string,
    options: {
      readonly name: string;
      readonly ticket: string;
      readonly body: string;
    },
  ): Promise<RecordedResponse> {
    const response = await this.#request(url, {
      method: "PUT",
      path: `/v1/tickets/${options.ticket}`,
      body: options.body,
    });
    return toRecordedResponse(options.name, options.body, response);
  }

  async callService(
    url: string,
    options: {
      readonly name: string;
      readonly method: "GET" | "POST";
      readonly path: string;
      readonly body: string;
    },
  ): Promise<RecordedResponse> {
    const response = await this.#request(url, {
      method: options.method,
      path: `/v1/services/filing${options.path}`,
      ...(options.body === "" ? {} : { body: options.body }),
    });
    return toRecordedResponse(options.name, options.body, response);
  }

  async requestCompletion(
    url: string,
    options: { readonly name: string; readonly content: string },
  ): Promise<RecordedResponse> {
    const response = await this.#request(url, {
      method: "POST",
      path: "/v1/chat/completions",
      body: JSON.stringify({
        model: "writer",
        messages: [{ role: "user", content: options.content }],
      }),
    });
    return toRecordedResponse(options.name, options.content, response);
  }

  /** Reads a streamed response into `record`; resolves when it ends. */
  async readStream(
    url: string,
    record: RecordedStream,
    options: { readonly lastEventId?: string; readonly signal: AbortSignal },
  ): Promise<void> {
    const client = createClient(url);
    try {
      const { lastEventId } = options;
      const response = await client.request({
        method: "POST",
        path: "/v1/chat/completions",
        headers: {
          ...this.#headers(),
          ...(lastEventId === undefined
            ? {}
            : { "last-event-id": lastEventId }),
        },
        body: JSON.stringify({
          model: "writer",
          stream: true,
          messages: [{ role: "user", content: record.content }],
        }),
        signal: options.signal,
      });
      record.statusCode = response.statusCode;
      await readEvents(response, record);
      record.end ??= "broken";
    } catch {
      record.end ??= "broken";
    } finally {
      await client.destroy();
    }
  }

  #headers(): Record<string, string> {
    return {
      authorization: `Bearer ${this.#teamId}`,
      "content-type": "application/json",
    };
  }

  async #request(
    url: string,
    options: Pick<Dispatcher.RequestOptions, "method" | "path" | "body">,
  ): Promise<
    | {
        readonly statusCode: number;
        readonly outcome: string | undefined;
        readonly body: string;
      }
    | undefined
  > {
    const client = createClient(url);
    try {
      const response = await client.request({
        ...options,
        headers: this.#headers(),
      });
      const outcome = response.headers["x-outcome"];
      return {
        statusCode: response.statusCode,
        outcome: typeof outcome === "string" ? outcome : undefined,
        body: await response.body.text(),
      };
    } catch {
      return undefined;
    } finally {
      await client.destroy();
    }
  }
}

function createClient(url: string): Client {
  return new Client(url, {
    headersTimeout: NO_TIMEOUT,
    bodyTimeout: NO_TIMEOUT,
  });
}

async function readEvents(
  response: Dispatcher.ResponseData,
  record: RecordedStream,
): Promise<void> {
  if (response.statusCode !== 200) {
    const body = (await response.body.json()) as Chunk;
    record.errorType = body.error?.type ?? "";
    record.end = "error";
    return;
  }
  const parser = createParser({
    onEvent: ({ id, data }) => {
      if (id !== undefined) record.lastEventId = id;
      if (data === "[DONE]") {
        record.end = "clean";
        return;
      }
      const chunk = JSON.parse(data) as Chunk;
      if (chunk.error) {
        record.end = "error";
        record.errorType = chunk.error.type;
      }
      const content = chunk.choices?.[0]?.delta.content;
      if (content !== undefined) record.tokens.push(content.trim());
    },
  });
  const decoder = new TextDecoder();
  for await (const bytes of response.body) {
    parser.feed(decoder.decode(bytes as Uint8Array, { stream: true }));
  }
}

function toRecordedResponse(
  name: string,
  mark: string,
  response:
    | {
        readonly statusCode: number;
        readonly outcome: string | undefined;
        readonly body: string;
      }
    | undefined,
): RecordedResponse {
  if (!response)
    return { name, mark, statusCode: 0, outcome: "none", body: "" };
  const { statusCode, body } = response;
  const outcome =
    response.outcome ??
    (statusCode === 200 ? "completed" : readErrorOutcome(body));
  return { name, mark, statusCode, outcome, body };
}

function readErrorOutcome(body: string): string {
  try {
    const { error } = JSON.parse(body) as { error?: { outcome?: string } };
    return error?.outcome ?? "none";
  } catch {
    return "none";
  }
}
