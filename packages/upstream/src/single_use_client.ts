import type { Socket } from "node:net";
import { buildConnector, Client, type Dispatcher } from "undici";
import { hasLostPeer } from "@jujubeladder/utils";
import type { SingleUseResponse } from "./single_use_response.js";

const CONNECT_TIMEOUT_MS = 1_000;
/** The client's own timers, which end a silent wait first, are this coarse. */
const TIMER_RESOLUTION_MS = 1_000;
/** Bytes that are no body: heads, framing, trailers, or nothing of these. */
const MAX_OVERHEAD_BYTES = 1_048_576;
/** Framing of a body in chunks of a few bytes; real ones are longer. */
const MAX_OVERHEAD_PER_BODY_BYTE = 1;

/** Limits on a response. */
interface ResponseLimits {
  /** Time from the connection to the end of the last head. */
  readonly headTimeoutMs: number;
  /** Time between two pieces of the body. */
  readonly silenceMs: number;
  /** Time from the end of the head to that of the body; unlimited if absent. */
  readonly bodyTimeoutMs?: number;
}

/**
 * HTTP client whose connection has served no other request and takes a bounded
 * number of bytes beside the body. While `isConnected` is false, no byte of the
 * request can have been sent.
 */
export class SingleUseClient {
  readonly #client: Client;
  readonly #limits: ResponseLimits;
  #socket: Socket | undefined;
  #socketError: Error | undefined;
  #hasOrderlyEnd = false;
  #timer: NodeJS.Timeout | undefined;
  #bodyBytes = 0;

  constructor(origin: string, limits: ResponseLimits) {
    this.#limits = limits;
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
    this.#client = new Client(origin, {
      headersTimeout: limits.headTimeoutMs,
      bodyTimeout: limits.silenceMs,
      pipelining: 1,
      connect: (target, callback) => {
        connect(target, (...result) => {
          if (result[0] === null) this.#watch(result[1]);
          callback(...result);
        });
      },
    });
  }

  get isConnected(): boolean {
    return this.#socket !== undefined;
  }

  /** Sends the only request; rejects if no head arrives within the limits. */
  async request(
    options: Dispatcher.RequestOptions,
  ): Promise<SingleUseResponse> {
    const response = await this.#client.request(options);
    const { statusCode, headers } = response;
    const { bodyTimeoutMs } = this.#limits;
    this.#clearTimer();
    if (bodyTimeoutMs !== undefined) {
      this.#failAfter(bodyTimeoutMs, "the body did not end in time");
    }
    const body = this.#readBody(response.body, endsWithConnection(headers));
    return { statusCode, headers, body };
  }

  close(): void {
    this.#clearTimer();
    void this.#client.destroy().catch(() => undefined);
  }

  async *#readBody(
    body: AsyncIterable<Uint8Array>,
    isEndAmbiguous: boolean,
  ): AsyncGenerator<Uint8Array, void, void> {
    for await (const chunk of body) {
      this.#bodyBytes += chunk.byteLength;
      yield chunk;
    }
    // A body that ends with the connection looks whole after a reset, too.
    if (isEndAmbiguous && !this.#hasOrderlyEnd)
      throw this.#socketError ?? new Error("the connection was reset");
  }

  #watch(socket: Socket): void {
    this.#socket = socket;
    socket.once("error", (error) => {
      this.#socketError = error;
    });
    socket.once("end", () => {
      this.#hasOrderlyEnd = !this.#socketError && !hasLostPeer(socket);
    });
    socket.on("readable", () => {
      const overheadBytes = socket.bytesRead - this.#bodyBytes;
      const maxBytes =
        MAX_OVERHEAD_BYTES + MAX_OVERHEAD_PER_BODY_BYTE * this.#bodyBytes;
      if (overheadBytes <= maxBytes) return;
      socket.destroy(
        new Error("the response has too many bytes beside a body"),
      );
    });
    this.#failAfter(
      this.#limits.headTimeoutMs + TIMER_RESOLUTION_MS,
      "the head did not end in time",
    );
  }

  #clearTimer(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
  }

  // Bytes that arrived while the process was suspended are read first.
  #failAfter(timeoutMs: number, reason: string): void {
    const timer = setTimeout(() => {
      setImmediate(() => {
        if (this.#timer === timer) this.#socket?.destroy(new Error(reason));
      });
    }, timeoutMs);
    this.#timer = timer;
  }
}

// True if only the end of the connection delimits the body. The client fails
// other bodies that are not whole.
function endsWithConnection(headers: SingleUseResponse["headers"]): boolean {
  const coding = headers["transfer-encoding"];
  if (coding === undefined) return headers["content-length"] === undefined;
  return !/(?:^|,)\s*chunked\s*$/i.test(String(coding));
}
