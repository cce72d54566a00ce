import { once } from "node:events";
import { createServer, type Server } from "node:http";

/** Serves one GET path with a text; resolves when it listens. */
export async function serveSimple(
  address: { readonly host: string; readonly port: number },
  answer: (path: string) => {
    readonly statusCode: number;
    readonly text: string;
  },
): Promise<Server> {
  const server = createServer((request, response) => {
    const { statusCode, text } = answer(request.url ?? "");
    response.writeHead(statusCode, { "content-type": "text/plain" });
    response.end(text);
  });
  server.listen(address.port, address.host);
  await once(server, "listening");
  return server;
}
