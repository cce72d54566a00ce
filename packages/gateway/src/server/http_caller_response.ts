import type { ServerResponse } from "node:http";
import type { CallerResponse } from "../relay/caller_response.js";

/** Limit of a body that a caller without chunked encoding gets at once. */
const MAX_COLLECTED_BYTES = 8 * 1_048_576;
const CONTENT_LENGTH = "content-length";
/** Statuses of responses that have no body. */
const BODILESS: ReadonlySet<number> = new Set([204, 304]);

/** A response that is sent once its length is known. */
interface Collected {
  readonly statusCode: number;
  readonly headers: readonly string[];
  readonly chunks: Uint8Array[];
  byteCount: number;
}

/**
 * Response to a caller over HTTP. Its body has a length or comes in chunks, so
 * that a connection that ends early, also with this process, never looks like the
 * end of the body.
 */
export class HttpCallerResponse implements CallerResponse {
  readonly #response: ServerResponse;
  readonly #disconnected = new AbortController();
  readonly #cancelled = new AbortController();
  readonly #isClosing: () => boolean;
  /** Resolves once the response has been sent or its connection is closed. */
  readonly closed: Promise<void>;
  #collected: Collected | undefined;

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
    return this.#response.headersSent || this.#collected !== undefined;
  }

  sendHead(statusCode: number, headers: readonly string[]): void {
    const hasLength = headers.some(
      (name, n) => n % 2 === 0 && name.toLowerCase() === CONTENT_LENGTH,
    );
    const { httpVersion, method } = this.#response.req;
    const hasBody = method !== "HEAD" && !BODILESS.has(statusCode);
    if (httpVersion === "1.0" && hasBody && !hasLength)
      this.#collected = { statusCode, headers, chunks: [], byteCount: 0 };
    else this.#writeHead(statusCode, headers);
  }

  write(chunk: Uint8Array): boolean {
    const collected = this.#collected;
    if (!collected) return this.#response.write(chunk);
    collected.chunks.push(chunk);
    collected.byteCount += chunk.byteLength;
    if (collected.byteCount > MAX_COLLECTED_BYTES) this.abort();
    return true;
  }

  onDrain(resume: () => void): void {
    this.#response.once("drain", resume);
  }

  end(chunk?: Uint8Array): void {
    const collected = this.#collected;
    if (collected) {
      if (chunk) this.write(chunk);
      const { statusCode, headers, chunks, byteCount } = collected;
      const length = [CONTENT_LENGTH, String(byteCount)];
      this.#writeHead(statusCode, [...headers, ...length]);
      this.#response.end(Buffer.concat(chunks));
    } else if (chunk) this.#response.end(chunk);
    else this.#response.end();
  }

  /** Gives up the request; its final outcome is still to be sent. */
  cancel(): void {
    this.#cancelled.abort();
  }

  abort(): void {
    this.#response.destroy();
  }

  #writeHead(statusCode: number, headers: readonly string[]): void {
    const close = this.#isClosing() ? ["connection", "close"] : [];
    this.#response.writeHead(statusCode, [...headers, ...close]);
  }

  #disconnect(): void {
    this.#disconnected.abort();
    this.#cancelled.abort();
  }
}
