import type { ServerResponse } from "node:http";

/** Responses that are not finished, and whether their connections are kept. */
export class ActiveResponses {
  readonly #active = new Set<ServerResponse>();
  #isLeaving = false;

  get count(): number {
    return this.#active.size;
  }

  /** Counts a response until all of it has been sent, or its caller has left. */
  add(response: ServerResponse): void {
    this.#active.add(response);
    const { socket } = response.req;
    const onClose = () => {
      socket.off("close", onClose);
      this.#active.delete(response);
    };
    response.on("close", onClose);
    // A response behind another on its connection has no event of its own.
    socket.on("close", onClose);
    if (this.#isLeaving) response.shouldKeepAlive = false;
  }

  /**
   * Lets each connection end with its next response, so that callers go to
   * another instance. A response whose head is sent leaves its connection open.
   */
  leave(): void {
    this.#isLeaving = true;
    for (const response of this.#active) response.shouldKeepAlive = false;
  }
}
