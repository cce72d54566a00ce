/** How a service's runners behave for a while after their start. */
export interface ColdStart {
  /** For how long a runner is cold after its start. */
  readonly durationMs: number;
  /** Requests per second, of the whole fleet, that a cold runner tolerates. */
  readonly requestsPerSecond: number;
}
