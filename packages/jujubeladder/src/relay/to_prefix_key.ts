import type { GenerationRequest } from "@jujubeladder/types";
import { hashText } from "@jujubeladder/utils";

/** Returns a key that requests with the same first message share. */
export function toPrefixKey(request: GenerationRequest): string {
  return String(hashText(request.messages[0]?.content ?? ""));
}
