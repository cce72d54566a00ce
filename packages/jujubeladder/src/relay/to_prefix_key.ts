import type { GenerationRequest } from "@jujubeladder/types";
import { hash32 } from "@jujubeladder/utils";

/** Returns a key that requests with the same first message share. */
export function toPrefixKey(request: GenerationRequest): string {
  return String(hash32(request.messages[0]?.content ?? ""));
}
