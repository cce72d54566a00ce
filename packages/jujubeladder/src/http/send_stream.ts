import type { Response } from "express";
import type { GenerationEvent } from "@jujubeladder/types";
import type { Metrics } from "@jujubeladder/metrics";
import { sendError } from "./send_error.js";
import { SseWriter } from "./sse_writer.js";
import { toFailureError } from "./to_failure_error.js";

/** Fields that all chunks of one response share. */
interface StreamDescription {
  readonly requestId: string;
  readonly serviceId: string;
}

/**
 * Streams a generation to a caller as chat-completion chunks. A failure before
 * the first event is sent as an error response; a later one as a typed error
 * event, without the final `[DONE]`.
 */
export async function sendStream(
  res: Response,
  events: AsyncIterable<GenerationEvent>,
  options: StreamDescription & { readonly metrics: Metrics },
): Promise<void> {
  const writer = new SseWriter(res);
  const created = Math.floor(Date.now() / 1_000);
  let lastHandle = "";
  const toChunk = (delta: object, finishReason: string | null) =>
    JSON.stringify({
      id: options.requestId,
      object: "chat.completion.chunk",
      created,
      model: options.serviceId,
      choices: [{ index: 0, delta, finish_reason: finishReason }],
    });
  try {
    for await (const event of events) {
      if (event.type === "failed" && !writer.isOpen) {
        sendFailure(res, event, options.metrics);
        return;
      }
      if (!writer.isOpen) writer.open();
      switch (event.type) {
        case "token":
          lastHandle = event.handle;
          await writer.write({
            id: event.handle,
            data: toChunk({ content: event.text }, null),
          });
          break;
        case "finished":
          await writer.write({
            ...(lastHandle === "" ? {} : { id: lastHandle }),
            data: toChunk({}, event.finishReason),
          });
          await writer.write({ data: "[DONE]" });
          break;
        case "failed":
          options.metrics.countOutcome(event.outcome);
          await writer.write({ name: "error", data: toErrorData(event) });
          break;
      }
    }
  } finally {
    if (writer.isOpen) writer.end();
  }
}

function sendFailure(
  res: Response,
  event: Extract<GenerationEvent, { type: "failed" }>,
  metrics: Metrics,
): void {
  metrics.countOutcome(event.outcome);
  if (event.outcome === "completed") throw new Error("A failure completed");
  const { outcome, reason, retryAfterMs } = event;
  sendError(res, toFailureError(outcome, reason, retryAfterMs));
}

function toErrorData(
  event: Extract<GenerationEvent, { type: "failed" }>,
): string {
  return JSON.stringify({
    error: {
      type: event.outcome,
      outcome: event.outcome,
      message: event.reason,
      sent_tokens: event.sentTokens,
    },
  });
}
