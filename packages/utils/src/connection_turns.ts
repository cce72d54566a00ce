import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";

/**
 * Lets the requests of each connection take turns. Node.js hands over requests
 * that a caller has sent without waiting for responses, and drops those behind
 * a response that ends the connection.
 */
export class ConnectionTurns {
  readonly #latest = new WeakMap<
    Socket,
    { readonly response: ServerResponse; readonly ended: Promise<void> }
  >();

  /**
   * Adds a response, which has `ended` once it has been sent or its connection
   * is closed. Resolves once those before it have ended, with whether it can
   * still be sent.
   */
  async take(response: ServerResponse, ended: Promise<void>): Promise<boolean> {
    const { socket } = response.req;
    const previous = this.#latest.get(socket);
    this.#latest.set(socket, { response, ended });
    await previous?.ended;
    return socket.writable;
  }

  /** Whether no other request has arrived behind that of `response`. */
  isLatest(response: ServerResponse): boolean {
    return this.#latest.get(response.req.socket)?.response === response;
  }
}
