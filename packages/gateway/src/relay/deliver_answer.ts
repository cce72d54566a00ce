import type { AttemptOutcome } from "./attempt_outcome.js";
import type { FinalOutcome } from "./final_outcome.js";
import type { RequestContext } from "./request_context.js";

/** Sends a runner's buffered response, unless a stream has begun before it. */
export function deliverAnswer(
  { response, request }: RequestContext,
  { head, body }: Extract<AttemptOutcome, { type: "answered" }>,
): FinalOutcome {
  if (response.isHeadSent) {
    response.abort();
    return { type: "cut", reason: `status ${head.statusCode} in mid-stream` };
  }
  const hasBody = request.method !== "HEAD" && head.statusCode !== 204;
  const length = hasBody ? ["content-length", String(body.length)] : [];
  response.sendHead(head.statusCode, [...head.forwardedHeaders, ...length]);
  response.end(body);
  return { type: "delivered", statusCode: head.statusCode };
}
