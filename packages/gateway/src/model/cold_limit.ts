/** What the fleet may send to a cold runner beyond its service's rate. */
export interface ColdLimit {
  /** Factor of the service's rate. */
  readonly excess: number;
  /** Requests per second beside that. */
  readonly slack: number;
}
