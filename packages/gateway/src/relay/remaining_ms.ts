import { monotonicMs } from "@jujubeladder/utils";
import type { RequestContext } from "./request_context.js";

/** The final response is sent this long before the request's deadline. */
const RESPONSE_MARGIN_MS = 20;

/** Time left to respond to a request; not positive once it has run out. */
export function remainingMs({ deadlineAtMs }: RequestContext): number {
  return deadlineAtMs - RESPONSE_MARGIN_MS - monotonicMs();
}
