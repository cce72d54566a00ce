/** The state that the configuration wants a runner to be in. */
export interface RunnerTarget {
  readonly runnerId: string;
  readonly model: string;
  readonly version: string;
  readonly adapters: readonly string[];
  readonly role: string;
}
