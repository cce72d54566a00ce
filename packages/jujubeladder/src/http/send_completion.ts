import type { Response } from "express";
import type { GenerationEvent } from "@jujubeladder/types";
import type { Metrics } from "@jujubeladder/metrics";
import { sendError } from "./send_error.js";
import { toFailureError } from "./to_failure_error.js";

/** Sends a generation as a single chat completion, or a typed error. */
export async function sendCompletion(
  res: Response,
  events: AsyncIterable<GenerationEvent>,
  options: {
    readonly requestId: string;
    readonly serviceId: string;
    readonly metrics: Metrics;
  },
): Promise<void> {
  let content = "";
  for await (const event of events) {
    switch (event.type) {
      case "token":
        content += event.text;
        break;
      case "finished":
        res.json({
          id: options.requestId,
          object: "chat.completion",
          created: Math.floor(Date.now() / 1_000),
          model: options.serviceId,
          choices: [
            {
              index: 0,
              message: { role: "assistant", content },
              finish_reason: event.finishReason,
            },
          ],
          usage: { completion_tokens: event.tokenCount },
        });
        break;
      case "failed": {
        const { outcome, reason, retryAfterMs } = event;
        options.metrics.countOutcome(outcome);
        if (outcome === "completed") throw new Error("A failure completed");
        sendError(res, toFailureError(outcome, reason, retryAfterMs));
        break;
      }
    }
  }
}
