const RESET_CODES: ReadonlySet<unknown> = new Set(["ECONNRESET", "EPIPE"]);

/**
 * True if a socket's error shows that the other end closed the connection. A
 * time-out only shows that it is out of reach.
 */
export function hasPeerReset(error: Error): boolean {
  return "code" in error && RESET_CODES.has(error.code);
}
