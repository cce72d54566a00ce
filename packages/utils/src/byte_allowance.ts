/** Memory that a holder may take from a limit, in bytes. */
export interface ByteAllowance {
  /** Takes the bytes; false if they are not available. */
  tryAcquire(bytes: number): boolean;
  release(bytes: number): void;
}
