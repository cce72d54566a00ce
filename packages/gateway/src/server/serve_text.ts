import { once } from "node:events";
import { createServer, type Server } from "node:http";

/** Starts a plain-text HTTP server; resolves once it listens. */
export async function serveText(
  address: { readonly host: string; readonly port: number },
  respond: (path: string) => {
    readonly statusCode: number;
    readonly text: string;
  },
): Promise<Server> {
  const server = createServer((request, response) => {
    const { statusCode, text } = respond(request.url ?? "");
    response.writeHead(statusCode, { "content-type": "text/plain" });
    response.end(text);
  });
  server.listen(address.port, address.host);
  await once(server, "listening");
  return server;
}
