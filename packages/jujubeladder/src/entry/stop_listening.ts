import type { Server } from "node:http";
import { Server as NetServer } from "node:net";

/**
 * Accepts no new connections and keeps the open ones. `Server.close` of
 * `node:http` also closes those that are idle, and so resets a request that is
 * on its way or has not been read.
 */
export function stopListening(server: Server): void {
  NetServer.prototype.close.call(server);
}
