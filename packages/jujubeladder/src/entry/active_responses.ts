import type { ServerResponse } from "node:http";
import { ConnectionTurns } from "@jujubeladder/utils";

/** Responses that are not finished, and whether their connections are kept. */
export class ActiveResponses {
  readonly #active = new Set<ServerResponse>();
  readonly #turns = new ConnectionTurns();
  /** Those that would keep their connection if the instance did not leave. */
  readonly #closing = new WeakSet<ServerResponse>();
  #isLeaving = false;

  get count(): number {
    return this.#active.size;
  }

  /**
   * Counts a response until all of it has been sent, or its caller has left.
   * While the instance leaves, resolves once those before it on its connection
   * have ended, with whether it can still be sent.
   */
  async add(response: ServerResponse): Promise<boolean> {
    this.#active.add(response);
    const { socket } = response.req;
    const ended = new Promise<void>((resolve) => {
      const onClose = () => {
        socket.off("close", onClose);
        this.#active.delete(response);
        resolve();
      };
      response.on("close", onClose);
      // A response behind another on its connection has no event of its own.
      socket.on("close", onClose);
    });
    const turn = this.#turns.take(response, ended);
    // Behind a body that nobody reads, a caller that leaves would go unnoticed.
    if (!this.#isLeaving) return true;
    this.#closeWithLatest();
    return await turn;
  }

  /**
   * Lets each connection end with its next response, so that callers go to
   * another instance. A response whose head is sent leaves its connection open.
   */
  leave(): void {
    this.#isLeaving = true;
    this.#closeWithLatest();
  }

  // A response that ends its connection drops those behind it.
  #closeWithLatest(): void {
    for (const response of this.#active) {
      const isLatest = this.#turns.isLatest(response);
      if (isLatest && response.shouldKeepAlive) {
        response.shouldKeepAlive = false;
        this.#closing.add(response);
      } else if (!isLatest && this.#closing.delete(response)) {
        response.shouldKeepAlive = true;
      }
    }
  }
}
