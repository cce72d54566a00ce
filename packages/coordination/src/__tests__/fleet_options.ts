/** A fleet and the requests with deadly parts that it is sent. */
export interface FleetOptions {
  readonly instances: number;
  readonly engines: number;
  readonly requestsPerSecond: number;
  readonly deadlyShare: number;
  /**
   * Where the deadly parts stand: as first part, as middle part, two middle
   * parts, or a common middle part that was sound until then.
   */
  readonly deadly: "first" | "middle" | "two" | "turned";
  readonly seed: number;
}
