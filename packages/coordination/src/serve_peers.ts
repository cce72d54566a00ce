import { once } from "node:events";
import { createServer, type Http2Server } from "node:http2";
import type { ServiceImpl } from "@connectrpc/connect";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import { PeerService } from "@jujubeladder/protocol";

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
  });
  const server = createServer(handler);
  server.listen(address.port, address.host);
  await once(server, "listening");
  return server;
}
