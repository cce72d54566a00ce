import type { RetryPolicy } from "./retry_policy.js";

/** Services and limits for the requests of a host and path prefix. */
export interface Route {
  readonly routeId: string;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly pathPrefix: string;
  /** Services among which requests are split by weight. */
  readonly targets: readonly {
    readonly serviceId: string;
    readonly weight: number;
  }[];
  readonly retryPolicy: RetryPolicy;
  /** Maximum time until the response is complete. */
  readonly timeoutMs: number;
  /** Latency target of the response, or of a stream's first event. */
  readonly targetLatencyMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /**
   * Maximum number of attempts that may execute a request. Rejections and
   * resumed migrations do not count.
   */
  readonly maxAttempts: number;
  /** Requests don't need an API key. */
  readonly isPublic: boolean;
  /** Regions that may serve requests; empty or absent allows all of them. */
  readonly allowedRegions?: readonly string[] | undefined;
}
