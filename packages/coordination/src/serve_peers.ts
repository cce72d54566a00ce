import { once } from "node:events";
import { createServer, type Http2Server } from "node:http2";
import type { Socket } from "node:net";
import type { ServiceImpl } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { PeerService } from "@jujubeladder/protocol";
import { limitSession } from "./limit_session.js";

/** A handoff of two full ledgers. */
const MAX_REQUEST_BYTES = 256 * 1_048_576;

/**
 * Serves the peer protocol over HTTP/2; resolves once the server is listening.
 * Methods without a handler fail with `Unimplemented`.
 */
export async function servePeers(
  service: Partial<ServiceImpl<typeof PeerService>>,
  address: { readonly host: string; readonly port: number },
): Promise<Http2Server> {
  const handler = connectNodeAdapter({
    routes: (router) => {
      router.service(PeerService, service);
    },
    readMaxBytes: MAX_REQUEST_BYTES,
  });
  const server = createServer(handler);
  let accepted: Socket | undefined;
  // Emitted right before the session of the connection.
  server.prependListener("connection", (socket: Socket) => {
    accepted = socket;
  });
  server.on("session", (session) => {
    if (accepted) limitSession(session, accepted);
  });
  server.listen(address.port, address.host);
  await once(server, "listening");
  return server;
}
