import type { GenerationRequest } from "@jujubeladder/types";
import { hashText } from "@jujubeladder/utils";

/** Names the prompt prefix that requests with the same opening share. */
export function toPrefixKey(request: GenerationRequest): string {
  return String(hashText(request.messages[0]?.content ?? ""));
}
