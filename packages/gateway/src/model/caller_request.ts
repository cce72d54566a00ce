import type { GenerationWork } from "./generation_work.js";

/** Head of a caller's request, decoded. */
export interface CallerRequest {
  readonly requestId: string;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly target: string;
  readonly host: string;
  readonly apiKey?: string | undefined;
  /** How long the caller waits. */
  readonly patienceMs?: number | undefined;
  readonly lastEventId?: number | undefined;
  readonly work?: GenerationWork | undefined;
  /** Names and values that are passed to the runner, alternating. */
  readonly forwardedHeaders: readonly string[];
}
