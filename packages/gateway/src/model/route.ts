import type { RepeatPolicy } from "./repeat_policy.js";

/** Where requests of one host and path prefix go, and within what bounds. */
export interface Route {
  readonly routeId: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** Services that share the route's requests, by weight. */
  readonly targets: readonly {
    readonly serviceId: string;
    readonly weight: number;
  }[];
  readonly repeat: RepeatPolicy;
  /** Longest time until a final answer. */
  readonly timeoutMs: number;
  /** Time until the answer, or a stream's first event, that is on time. */
  readonly targetLatencyMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Most runners that one request may be sent to. */
  readonly maxAttempts: number;
  /** Requests need no API key. */
  readonly isPublic: boolean;
}
