import type { ServerResponse } from "node:http";
import type { CallerResponse } from "../relay/caller_response.js";

/** Response to a caller over HTTP. */
export class HttpCallerResponse implements CallerResponse {
  readonly #response: ServerResponse;
  readonly #disconnected = new AbortController();
  readonly #cancelled = new AbortController();
  readonly #isClosing: () => boolean;
  /** Resolves once the response has been sent or its connection is closed. */
  readonly closed: Promise<void>;
  #endsWithConnection = false;

  /** If `isClosing` returns true, the response asks to close the connection. */
  constructor(response: ServerResponse, isClosing: () => boolean) {
    this.#response = response;
    this.#isClosing = isClosing;
    const { socket } = response.req;
    this.closed = new Promise((resolve) => {
      const onClose = () => {
        socket.off("close", onClose);
        if (!response.writableFinished) this.#disconnect();
        resolve();
      };
      response.on("close", onClose);
      // A response behind another on its connection has no event of its own.
      socket.on("close", onClose);
    });
    response.on("error", () => {
      this.#disconnect();
    });
  }

  get disconnectSignal(): AbortSignal {
    return this.#disconnected.signal;
  }

  get cancelSignal(): AbortSignal {
    return this.#cancelled.signal;
  }

  get isHeadSent(): boolean {
    return this.#response.headersSent;
  }

  sendHead(
    statusCode: number,
    headers: readonly string[],
    options = { endsWithConnection: false },
  ): void {
    const { endsWithConnection } = options;
    this.#endsWithConnection = endsWithConnection;
    if (endsWithConnection) this.#response.useChunkedEncodingByDefault = false;
    const isLast = endsWithConnection || this.#isClosing();
    const close = isLast ? ["connection", "close"] : [];
    this.#response.writeHead(statusCode, [...headers, ...close]);
  }

  write(chunk: Uint8Array): boolean {
    return this.#response.write(chunk);
  }

  onDrain(resume: () => void): void {
    this.#response.once("drain", resume);
  }

  end(chunk?: Uint8Array): void {
    if (chunk) this.#response.end(chunk);
    else this.#response.end();
  }

  /** Gives up the request; its final outcome is still to be sent. */
  cancel(): void {
    this.#cancelled.abort();
  }

  abort(): void {
    // Without a content length, an orderly close would mark a complete body.
    if (this.#endsWithConnection) this.#response.socket?.resetAndDestroy();
    this.#response.destroy();
  }

  #disconnect(): void {
    this.#disconnected.abort();
    this.#cancelled.abort();
  }
}
