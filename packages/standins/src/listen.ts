import type { RequestListener, Server } from "node:http";
import { createServer } from "node:http";
import { once } from "node:events";
import type { AddressInfo } from "node:net";

/** Starts an HTTP server on loopback; port 0 picks a free port. */
export async function listen(
  listener: RequestListener,
  port: number,
): Promise<{ readonly server: Server; readonly port: number }> {
  const server = createServer(listener);
  server.listen(port, "127.0.0.1");
  await once(server, "listening");
  return { server, port: (server.address() as AddressInfo).port };
}
