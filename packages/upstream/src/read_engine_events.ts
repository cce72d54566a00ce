import { createParser } from "eventsource-parser";
import { z } from "zod";
import { describeError, parseJson } from "@jujubeladder/utils";
import type { BreakCause } from "./break_cause.js";
import type { EngineEvent } from "./engine_event.js";
import { EventBounds } from "./event_bounds.js";

const BODY_TIMEOUT_CODE = "UND_ERR_BODY_TIMEOUT";
const CLOSED_CODES: ReadonlySet<string> = new Set([
  "ABORT_ERR",
  "ECONNRESET",
  "EPIPE",
  "ETIMEDOUT",
  "UND_ERR_ABORTED",
  "UND_ERR_DESTROYED",
  "UND_ERR_SOCKET",
]);

const OFFSET = /^\d{1,15}$/;

const chunkSchema = z.object({
  id: z.string(),
  choices: z
    .array(
      z.object({
        delta: z.object({ content: z.string().optional() }),
        finish_reason: z.string().nullable(),
      }),
    )
    .min(1),
});

/**
 * Parses the server-sent events of one generation. Yields `broken` and ends on
 * a malformed chunk, a chunk of another generation, bytes without end that are
 * no progress, a connection error, or a connection that closes before the
 * finish reason.
 */
export async function* readEngineEvents(
  body: AsyncIterable<Uint8Array>,
  generationId: string,
): AsyncGenerator<EngineEvent, void, void> {
  let pending: EngineEvent[] = [];
  const parser = createParser({
    onEvent: ({ event, id, data }) => {
      pending.push(...toEngineEvents({ event, id, data }, generationId));
    },
  });
  const decoder = new TextDecoder();
  const bounds = new EventBounds();
  let lastOffset = -1;
  try {
    for await (const bytes of body) {
      const text = decoder.decode(bytes, { stream: true });
      const excess = bounds.accept(text);
      if (excess !== undefined) {
        yield broken(excess, "invalid");
        return;
      }
      parser.feed(text);
      const events = pending;
      pending = [];
      for (const event of events) {
        if (event.type === "token" && event.offset > lastOffset) {
          lastOffset = event.offset;
          bounds.recordProgress();
        }
        yield event;
        if (event.type === "finished" || event.type === "broken") return;
      }
    }
    yield broken("the runner closed the stream before its end", "closed");
  } catch (error) {
    const reason = describeError(error);
    yield broken(reason, toBreakCause(reason));
  }
}

function toEngineEvents(
  message: {
    readonly event: string | undefined;
    readonly id: string | undefined;
    readonly data: string;
  },
  generationId: string,
): readonly EngineEvent[] {
  if (message.event === "preempted") return [{ type: "preempted" }];
  if (message.data === "[DONE]") return [];
  const parsed = chunkSchema.safeParse(parseJson(message.data));
  const choice = parsed.data?.choices[0];
  if (!parsed.success || !choice)
    return [broken("the chunk is malformed", "invalid")];
  if (parsed.data.id !== generationId) {
    return [broken("the chunk belongs to another generation", "invalid")];
  }
  if (!OFFSET.test(message.id ?? "")) {
    return [broken("the chunk has no offset", "invalid")];
  }
  const offset = Number(message.id);
  const text = choice.delta.content;
  const finishReason = choice.finish_reason;
  return [
    ...(text === undefined ? [] : [{ type: "token", offset, text } as const]),
    ...(finishReason === null
      ? []
      : [{ type: "finished", finishReason, tokenCount: offset } as const]),
  ];
}

function toBreakCause(reason: string): BreakCause {
  if (reason === BODY_TIMEOUT_CODE) return "silent";
  return CLOSED_CODES.has(reason) ? "closed" : "invalid";
}

function broken(reason: string, cause: BreakCause): EngineEvent {
  return { type: "broken", reason, cause };
}
