import { createParser } from "eventsource-parser";
import { z } from "zod";
import { describeError, parseJson } from "@jujubeladder/utils";
import type { EngineEvent } from "./engine_event.js";

const BODY_TIMEOUT_CODE = "UND_ERR_BODY_TIMEOUT";

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
 * a malformed chunk, a chunk of another generation, a connection error, or a
 * connection that closes before the finish reason.
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
  try {
    for await (const bytes of body) {
      parser.feed(decoder.decode(bytes, { stream: true }));
      const events = pending;
      pending = [];
      for (const event of events) {
        yield event;
        if (event.type === "finished" || event.type === "broken") return;
      }
    }
    yield broken("the runner closed the stream before its end");
  } catch (error) {
    const reason = describeError(error);
    const isIdleTimeout = reason === BODY_TIMEOUT_CODE;
    yield { type: "broken", reason, isIdleTimeout };
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
  if (!parsed.success || !choice) return [broken("the chunk is malformed")];
  if (parsed.data.id !== generationId) {
    return [broken("the chunk belongs to another generation")];
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

function broken(reason: string): EngineEvent {
  return { type: "broken", reason, isIdleTimeout: false };
}
