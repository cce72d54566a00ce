const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;

/** True for the status of a final HTTP response; no others are defined. */
export function isFinalStatus(statusCode: number): boolean {
  return statusCode >= MIN_FINAL_STATUS && statusCode <= MAX_STATUS;
}
