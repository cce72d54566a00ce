import type { GenerationEvent } from "@jujubeladder/types";
import type { AttemptResult } from "./attempt_result.js";

/**
 * Buffers a generation and yields its text as one token event once it has
 * finished, so that it can be restarted at any time before.
 */
export async function* bufferGeneration(
  events: AsyncGenerator<GenerationEvent, AttemptResult, void>,
): AsyncGenerator<GenerationEvent, AttemptResult, void> {
  const texts: string[] = [];
  let handle = "";
  for (;;) {
    const { done, value } = await events.next();
    if (done) return value;
    if (value.type === "token") {
      texts.push(value.text);
      handle = value.handle;
      continue;
    }
    yield { type: "token", text: texts.join(""), offset: 0, handle };
    yield value;
  }
}
