import type { Socket } from "node:net";

/**
 * Tells, when a socket has emitted `end`, whether the connection was reset. The
 * runtime reports a reset that it meets right behind the last bytes as an end,
 * but the system no longer knows the other end then. The socket remembers an
 * address that it was asked for, so nothing may ask for it before.
 */
export function hasLostPeer(socket: Pick<Socket, "remoteAddress">): boolean {
  return socket.remoteAddress === undefined;
}
