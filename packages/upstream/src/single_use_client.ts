import type { Socket } from "node:net";
import { Client, type Dispatcher, errors } from "undici";
import {
  hasLostPeer,
  HoldableSocket,
  isFinalStatus,
} from "@jujubeladder/utils";
import { ResponseBody } from "./response_body.js";
import type { SingleUseResponse } from "./single_use_response.js";

const STATUS_OK = 200;
/** An origin leaves it out. */
const HTTP_PORT = 80;
/** Idle time before TCP keep-alive probes. */
const TCP_PROBE_DELAY_MS = 60_000;
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
  #socket: HoldableSocket | undefined;
  #socketError: Error | undefined;
  #hasOrderlyEnd = false;
  #timer: NodeJS.Timeout | undefined;
  #bodyBytes = 0;

  constructor(origin: string, limits: ResponseLimits) {
    this.#limits = limits;
    this.#client = new Client(origin, {
      headersTimeout: limits.headTimeoutMs,
      // The body has a timer of its own, as a held sender may be silent.
      bodyTimeout: 0,
      pipelining: 1,
      connect: ({ hostname, port }, callback) => {
        const endpoint = { host: hostname, port: Number(port || HTTP_PORT) };
        this.#connect(endpoint, callback);
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
    const { statusCode, headers, body } = await this.#dispatch(options);
    const isEndAmbiguous = endsWithConnection(headers);
    const { bodyTimeoutMs } = this.#limits;
    this.#clearTimer();
    if (bodyTimeoutMs !== undefined) {
      this.#failAfter(bodyTimeoutMs, "the body did not end in time");
    }
    return {
      statusCode,
      headers,
      body: this.#readBody(body, isEndAmbiguous),
      endsWithConnection: isEndAmbiguous,
    };
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

  async #dispatch(
    options: Dispatcher.RequestOptions,
  ): Promise<Omit<SingleUseResponse, "endsWithConnection">> {
    const { signal, ...request } = options;
    const abortSignal = signal instanceof AbortSignal ? signal : undefined;
    return await new Promise((resolve, reject) => {
      let body: ResponseBody | undefined;
      const fail = (error: Error) => {
        abortSignal?.removeEventListener("abort", onAbort);
        if (body) body.end(error);
        else reject(error);
      };
      const onAbort = () => {
        fail(new errors.RequestAbortedError());
        this.close();
      };
      if (abortSignal?.aborted) {
        onAbort();
        return;
      }
      abortSignal?.addEventListener("abort", onAbort, { once: true });
      this.#client.dispatch(request as Dispatcher.DispatchOptions, {
        // Marks a handler of the client's current form.
        onRequestStart: () => undefined,
        onResponseStart: (_controller, statusCode, headers) => {
          if (statusCode < STATUS_OK) return;
          if (!isFinalStatus(statusCode)) {
            fail(new Error(`status ${statusCode} is not defined`));
            this.close();
            return;
          }
          const flow = {
            hold: () => this.#socket?.hold(),
            release: () => this.#socket?.release(),
          };
          body = new ResponseBody(flow, this.#limits.silenceMs);
          resolve({ statusCode, headers, body });
        },
        onResponseData: (_controller, chunk) => {
          body?.push(chunk);
        },
        onResponseEnd: () => {
          abortSignal?.removeEventListener("abort", onAbort);
          body?.end();
        },
        onResponseError: (_controller, error) => {
          fail(error);
        },
      });
    });
  }

  #connect(
    endpoint: { readonly host: string; readonly port: number },
    callback: (...result: [Error, null] | [null, Socket]) => void,
  ): void {
    const socket = new HoldableSocket();
    const timer = setTimeout(() => {
      socket.destroy(new errors.ConnectTimeoutError());
    }, CONNECT_TIMEOUT_MS);
    const onError = (error: Error) => {
      clearTimeout(timer);
      callback(error, null);
    };
    socket.once("error", onError);
    socket.once("connect", () => {
      clearTimeout(timer);
      socket.off("error", onError);
      this.#watch(socket);
      callback(null, socket);
    });
    socket.setNoDelay(true);
    socket.setKeepAlive(true, TCP_PROBE_DELAY_MS);
    socket.connect(endpoint);
  }

  #watch(socket: HoldableSocket): void {
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
