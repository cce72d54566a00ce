import { createParser } from "eventsource-parser";
import { Client, type Dispatcher } from "undici";
import type { RecordedAnswer } from "./recorded_answer.js";
import type { RecordedStream } from "./recorded_stream.js";

const NO_TIMEOUT = 0;

interface Chunk {
  readonly error?: { readonly type: string };
  readonly choices?: readonly {
    readonly delta: { readonly content?: string };
  }[];
}

/** A caller that records all it receives. */
export class Caller {
  readonly #teamId: string;

  constructor(teamId: string) {
    this.#teamId = teamId;
  }

  /** Mints a ticket; an empty text when the entry refused. */
  async mint(url: string): Promise<string> {
    const answer = await this.#request(url, {
      method: "POST",
      path: "/v1/tickets",
      body: JSON.stringify({ service: "filing", path: "/submissions" }),
    });
    const body = JSON.parse(answer?.body ?? "{}") as { ticket?: string };
    return body.ticket ?? "";
  }

  async put(
    url: string,
    options: {
      readonly name: string;
      readonly ticket: string;
      readonly body: string;
    },
  ): Promise<RecordedAnswer> {
    const answer = await this.#request(url, {
      method: "PUT",
      path: `/v1/tickets/${options.ticket}`,
      body: options.body,
    });
    return toAnswer(options.name, options.body, answer);
  }

  async call(
    url: string,
    options: {
      readonly name: string;
      readonly method: "GET" | "POST";
      readonly path: string;
      readonly body: string;
    },
  ): Promise<RecordedAnswer> {
    const answer = await this.#request(url, {
      method: options.method,
      path: `/v1/services/filing${options.path}`,
      ...(options.body === "" ? {} : { body: options.body }),
    });
    return toAnswer(options.name, options.body, answer);
  }

  async whole(
    url: string,
    options: { readonly name: string; readonly content: string },
  ): Promise<RecordedAnswer> {
    const answer = await this.#request(url, {
      method: "POST",
      path: "/v1/chat/completions",
      body: JSON.stringify({
        model: "writer",
        messages: [{ role: "user", content: options.content }],
      }),
    });
    return toAnswer(options.name, options.content, answer);
  }

  /** Reads a stream into the record; resolves at its end. */
  async stream(
    url: string,
    record: RecordedStream,
    options: { readonly lastEventId?: string; readonly signal: AbortSignal },
  ): Promise<void> {
    const client = newClient(url);
    try {
      const { lastEventId } = options;
      const answer = await client.request({
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
      record.statusCode = answer.statusCode;
      await readEvents(answer, record);
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
    const client = newClient(url);
    try {
      const answer = await client.request({
        ...options,
        headers: this.#headers(),
      });
      const outcome = answer.headers["x-outcome"];
      return {
        statusCode: answer.statusCode,
        outcome: typeof outcome === "string" ? outcome : undefined,
        body: await answer.body.text(),
      };
    } catch {
      return undefined;
    } finally {
      await client.destroy();
    }
  }
}

function newClient(url: string): Client {
  return new Client(url, {
    headersTimeout: NO_TIMEOUT,
    bodyTimeout: NO_TIMEOUT,
  });
}

async function readEvents(
  answer: Dispatcher.ResponseData,
  record: RecordedStream,
): Promise<void> {
  if (answer.statusCode !== 200) {
    const body = (await answer.body.json()) as Chunk;
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
  for await (const bytes of answer.body) {
    parser.feed(decoder.decode(bytes as Uint8Array, { stream: true }));
  }
}

function toAnswer(
  name: string,
  mark: string,
  answer:
    | {
        readonly statusCode: number;
        readonly outcome: string | undefined;
        readonly body: string;
      }
    | undefined,
): RecordedAnswer {
  if (!answer) return { name, mark, statusCode: 0, outcome: "none", body: "" };
  const { statusCode, body } = answer;
  const outcome =
    answer.outcome ?? (statusCode === 200 ? "completed" : readType(body));
  return { name, mark, statusCode, outcome, body };
}

function readType(body: string): string {
  try {
    const { error } = JSON.parse(body) as { error?: { outcome?: string } };
    return error?.outcome ?? "none";
  } catch {
    return "none";
  }
}
