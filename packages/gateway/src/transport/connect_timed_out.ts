/** Reason for which `HttpConnection.open` fails if the other end is silent. */
export const CONNECT_TIMED_OUT = "the connection timed out";
