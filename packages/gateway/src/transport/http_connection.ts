import { connect as connectSocket, type Socket } from "node:net";
import process from "node:process";
import { Client, type Dispatcher } from "undici";
import type { Result } from "@jujubeladder/types";
import { describeError, monotonicMs } from "@jujubeladder/utils";
import type { ResponseSink } from "./response_sink.js";
import type { Exchange } from "./exchange.js";

/** Idle time before TCP keep-alive probes. */
const TCP_PROBE_DELAY_MS = 1_000;
/** Upper limit only; the pool closes idle connections far earlier. */
const CLIENT_IDLE_TIMEOUT_MS = 60_000;

/** Address of the other end. */
interface Endpoint {
  readonly host: string;
  readonly port: number;
}

/** One HTTP/1.1 connection, for one request at a time. */
export class HttpConnection {
  readonly #client: Client;
  readonly #socket: Socket;
  #idleSinceMs = monotonicMs();
  #hasFailed = false;
  #hasPeerEnded = false;
  #sendCount = 0;
  #bytesBeforeSend = 0;

  private constructor(socket: Socket, endpoint: Endpoint) {
    this.#socket = socket;
    // Must run before the client's own listener, because the client treats a
    // reset as the regular end of a response without a content length.
    socket.on("error", () => {
      this.#hasFailed = true;
      this.#hasPeerEnded = true;
    });
    socket.on("end", () => {
      this.#hasPeerEnded = true;
    });
    let isConnected = false;
    this.#client = new Client(`http://${endpoint.host}:${endpoint.port}`, {
      // The client must not reconnect by itself: a request without an open
      // connection has to be known as unsent.
      connect: (_options, callback) => {
        const wasConnected = isConnected;
        isConnected = true;
        // The client does not support a callback before `connect` returns.
        process.nextTick(() => {
          if (wasConnected)
            callback(new Error("the connection has closed"), null);
          else callback(null, socket);
        });
      },
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: CLIENT_IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: CLIENT_IDLE_TIMEOUT_MS,
    });
    this.#client.on("disconnect", () => undefined);
  }

  /** Opens a connection; an error means that nothing was sent. */
  static async open(
    endpoint: Endpoint,
    options: { readonly timeoutMs: number; readonly signal?: AbortSignal },
  ): Promise<Result<HttpConnection, string>> {
    return await new Promise((resolve) => {
      const socket = connectSocket({ ...endpoint, noDelay: true });
      socket.setKeepAlive(true, TCP_PROBE_DELAY_MS);
      const finish = (result: Result<HttpConnection, string>) => {
        clearTimeout(timer);
        socket.removeListener("error", onError);
        options.signal?.removeEventListener("abort", onAbort);
        if (!result.ok) {
          socket.on("error", () => undefined);
          socket.destroy();
        }
        resolve(result);
      };
      const onError = (error: Error) => {
        finish({ ok: false, error: describeError(error) });
      };
      const onAbort = () => {
        finish({ ok: false, error: "the caller has left" });
      };
      const timer = setTimeout(() => {
        finish({ ok: false, error: "the connection timed out" });
      }, options.timeoutMs);
      socket.once("error", onError);
      options.signal?.addEventListener("abort", onAbort, { once: true });
      socket.once("connect", () => {
        finish({ ok: true, value: new HttpConnection(socket, endpoint) });
      });
    });
  }

  /** False once either end has closed the connection or it has failed. */
  get isOpen(): boolean {
    const { destroyed, readable, writable } = this.#socket;
    return !this.#client.destroyed && !destroyed && readable && writable;
  }

  get idleMs(): number {
    return monotonicMs() - this.#idleSinceMs;
  }

  /** True if the connection has carried an earlier request. */
  get isReused(): boolean {
    return this.#sendCount > 1;
  }

  /** Bytes written for the last request, which the peer may not have read. */
  get sentBytes(): number {
    return this.#socket.bytesWritten - this.#bytesBeforeSend;
  }

  /** True if the connection was ended or reset by the other end. */
  get hasPeerEnded(): boolean {
    return this.#hasPeerEnded;
  }

  /** Sends a request; after this call the runner may have executed it. */
  send(
    request: {
      readonly method: string;
      readonly target: string;
      readonly headers: string[];
      readonly body: Buffer | null;
    },
    sink: ResponseSink,
  ): Exchange {
    this.#sendCount += 1;
    this.#bytesBeforeSend = this.#socket.bytesWritten;
    let controller: Dispatcher.DispatchController | undefined;
    let isDone = false;
    const end = (report: () => void) => {
      if (isDone) return;
      isDone = true;
      this.#idleSinceMs = monotonicMs();
      report();
    };
    this.#client.dispatch(
      {
        method: request.method as Dispatcher.HttpMethod,
        path: request.target,
        headers: request.headers,
        body: request.body,
      },
      {
        onRequestStart: (started) => {
          controller = started;
          if (isDone) started.abort(new Error("cancelled"));
        },
        onResponseStart: (_controller, statusCode, headers) => {
          if (!isDone) sink.onHead(statusCode, headers);
        },
        onResponseData: (started, chunk) => {
          if (!isDone && !sink.onData(chunk)) started.pause();
        },
        onResponseEnd: () => {
          end(() => {
            if (this.#hasFailed) sink.onError("the connection was reset");
            else sink.onEnd();
          });
        },
        onResponseError: (_controller, error) => {
          end(() => {
            sink.onError(describeError(error));
          });
        },
      },
    );
    return {
      resume: () => controller?.resume(),
      cancel: () => {
        isDone = true;
        this.close();
      },
    };
  }

  close(): void {
    // Destroying the socket aborts the connection, which the runner notices
    // even if it is not reading.
    this.#socket.destroy();
    void this.#client.destroy();
  }
}
