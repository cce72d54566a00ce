import type { GenerationWork } from "./generation_work.js";

/** The decoded head of a caller's request. */
export interface CallerRequest {
  readonly requestId: string;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  readonly host: string;
  readonly apiKey?: string | undefined;
  /** How long the caller waits for the response. */
  readonly maxWaitMs?: number | undefined;
  readonly lastEventId?: number | undefined;
  /** Id of the request that brought the first event of the stream. */
  readonly resumedRequestId?: string | undefined;
  readonly work?: GenerationWork | undefined;
  /** Headers to forward to the runner: names and values, alternating. */
  readonly forwardedHeaders: readonly string[];
}
