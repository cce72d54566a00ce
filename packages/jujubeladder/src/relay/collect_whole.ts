import type { GenerationEvent } from "@jujubeladder/types";
import type { AttemptEnd } from "./attempt_end.js";

/**
 * Holds an answer back until it is whole, so that it can be started anew at
 * any time before.
 */
export async function* collectWhole(
  read: AsyncGenerator<GenerationEvent, AttemptEnd, void>,
): AsyncGenerator<GenerationEvent, AttemptEnd, void> {
  const texts: string[] = [];
  let handle = "";
  for (;;) {
    const { done, value } = await read.next();
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
