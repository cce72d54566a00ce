/** Desired state of a runner, as set by the configuration. */
export interface RunnerTarget {
  readonly runnerId: string;
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly role: string;
}
