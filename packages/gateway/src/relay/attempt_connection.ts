/** What an attempt shows of its connection, for the logs. */
export interface AttemptConnection {
  /** False for a connection that was opened for this attempt. */
  readonly isReused: boolean;
  /** Bytes of the request that were written. */
  readonly sentBytes: number;
  /** Who ended the connection; undefined while it is open. */
  readonly endedBy: "runner" | "instance" | undefined;
}
