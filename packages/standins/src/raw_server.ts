import { once } from "node:events";
import {
  createServer,
  type AddressInfo,
  type Server,
  type Socket,
} from "node:net";

/** Called with the first bytes of each connection. */
type OnRequest = (socket: Socket, request: string) => void;

/** Sends what it is told to on loopback, to play a server in trouble. */
export class RawServer {
  readonly #server: Server;
  readonly #sockets = new Set<Socket>();
  #connectionCount = 0;

  constructor(onRequest: OnRequest) {
    this.#server = createServer((socket) => {
      this.#connectionCount += 1;
      this.#sockets.add(socket);
      socket.on("error", () => undefined);
      socket.once("close", () => this.#sockets.delete(socket));
      socket.once("data", (bytes) => {
        onRequest(socket, bytes.toString("latin1"));
      });
    });
  }

  get connectionCount(): number {
    return this.#connectionCount;
  }

  get openCount(): number {
    return this.#sockets.size;
  }

  /** Starts listening on a free port, which it returns. */
  async start(): Promise<number> {
    this.#server.listen(0, "127.0.0.1");
    await once(this.#server, "listening");
    return (this.#server.address() as AddressInfo).port;
  }

  /** Closes the port; open connections go on. */
  stopListening(): void {
    this.#server.close();
  }

  stop(): void {
    for (const socket of this.#sockets) socket.destroy();
    this.#server.close();
  }
}
