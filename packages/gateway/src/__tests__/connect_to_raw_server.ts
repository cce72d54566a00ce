import { once } from "node:events";
import { createServer, type AddressInfo, type Socket } from "node:net";
import { HttpConnection } from "../transport/http_connection.js";

/** Opens a connection to a server that writes what it is told to. */
export async function connectToRawServer(
  onRequest: (socket: Socket) => void,
): Promise<{ readonly connection: HttpConnection; readonly stop: () => void }> {
  const server = createServer((socket) => {
    socket.on("error", () => undefined);
    socket.on("data", () => {
      onRequest(socket);
    });
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  const { port } = server.address() as AddressInfo;
  const opened = await HttpConnection.open(
    { host: "127.0.0.1", port },
    { timeoutMs: 1_000 },
  );
  if (!opened.ok) throw new Error(opened.error);
  return { connection: opened.value, stop: () => server.close() };
}
