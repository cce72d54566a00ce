import { once } from "node:events";
import { createServer, type RequestListener, type Server } from "node:http";

/** Starts an HTTP server; resolves once it is listening. */
export async function serve(
  listener: RequestListener,
  address: { readonly host: string; readonly port: number },
): Promise<Server> {
  const server = createServer({ requestTimeout: 0 }, listener);
  server.listen(address.port, address.host);
  await once(server, "listening");
  return server;
}
