/** Limits that follow from the machine of one process. */
export interface ProcessLimits {
  /** Memory for the bodies of callers' requests. */
  readonly bodiesBytes: number;
  /** Memory for the parsed heads of requests in progress, on the heap. */
  readonly parsedHeadsBytes: number;
  /** Memory for the unfinished heads of callers' requests. */
  readonly headsBytes: number;
  /** Memory for runners' answers that are buffered. */
  readonly answersBytes: number;
  /** Memory for reads of the store. */
  readonly storeBytes: number;
  readonly maxCallerConnections: number;
}
