import process from "node:process";
import type { Dispatcher } from "undici";
import Client from "undici/lib/dispatcher/client.js";
import type { Result } from "@jujubeladder/types";
import {
  describeError,
  hasLostPeer,
  HoldableSocket,
  isFinalStatus,
  monotonicMs,
} from "@jujubeladder/utils";
import { CONNECT_TIMED_OUT } from "./connect_timed_out.js";
import { hasPeerReset } from "./has_peer_reset.js";
import type { ResponseSink } from "./response_sink.js";
import type { Exchange } from "./exchange.js";

const STATUS_OK = 200;
/** Idle time before TCP keep-alive probes. */
const TCP_PROBE_DELAY_MS = 1_000;
/** Upper limit only; the pool closes idle connections far earlier. */
const CLIENT_IDLE_TIMEOUT_MS = 60_000;
/** Limit for the names and values of one head, and of the trailers. */
const MAX_HEADER_BYTES = 16 * 1_024;
/**
 * Limit for the bytes of a response that are not its body: what precedes the
 * head, informational heads, the head, chunk sizes and extensions, trailers.
 */
const MAX_FRAMING_BYTES = 64 * 1_024;
/**
 * Further framing per byte of the body; a chunk takes at least five bytes of
 * it, so that a body can't consist of millions of tiny chunks.
 */
const MAX_FRAMING_PER_BODY_BYTE = 1;

/** Address of the other end. */
interface Endpoint {
  readonly host: string;
  readonly port: number;
}

/** A request in progress. */
interface Current {
  readonly fail: (reason: string) => void;
  bodyBytes: number;
}

/**
 * One HTTP/1.1 connection, for one request at a time. It closes when bytes
 * arrive that no request asked for, or more than a response may have.
 */
export class HttpConnection {
  readonly endpoint: Endpoint;
  readonly #client: Client;
  readonly #socket: HoldableSocket;
  #idleSinceMs = monotonicMs();
  #hasFailed = false;
  #hasPeerEnded = false;
  #sendCount = 0;
  #bytesBeforeSend = 0;
  #bytesReadBefore = 0;
  #current: Current | undefined;

  private constructor(socket: HoldableSocket, endpoint: Endpoint) {
    this.endpoint = endpoint;
    this.#socket = socket;
    // These must run before the client's own listeners, because the client treats
    // a reset as the regular end of a response without a content length.
    socket.on("error", (error) => {
      this.#hasFailed = true;
      this.#hasPeerEnded ||= hasPeerReset(error);
    });
    socket.on("end", () => {
      this.#hasFailed ||= hasLostPeer(socket);
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
      maxHeaderSize: MAX_HEADER_BYTES,
      headersTimeout: 0,
      bodyTimeout: 0,
      keepAliveTimeout: CLIENT_IDLE_TIMEOUT_MS,
      keepAliveMaxTimeout: CLIENT_IDLE_TIMEOUT_MS,
    });
    this.#client.on("disconnect", () => undefined);
    // Runs after the client's own listener, which has then parsed the bytes.
    this.#client.once("connect", () => {
      socket.on("readable", () => {
        this.#checkBytes();
      });
    });
  }

  /** Opens a connection; an error means that nothing was sent. */
  static async open(
    endpoint: Endpoint,
    options: { readonly timeoutMs: number; readonly signal?: AbortSignal },
  ): Promise<Result<HttpConnection, string>> {
    const socket = new HoldableSocket();
    try {
      socket.connect(endpoint);
      socket.setNoDelay(true);
    } catch (error) {
      // Such as a port out of range.
      return { ok: false, error: describeError(error) };
    }
    return await new Promise((resolve) => {
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
        finish({ ok: false, error: CONNECT_TIMED_OUT });
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
    const hasSurplus = !this.#current && this.#newBytes > 0;
    const isUsable = !destroyed && readable && writable && !hasSurplus;
    return !this.#client.destroyed && isUsable;
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

  /**
   * Sends a request; after this call the runner may have executed it, unless
   * the request has failed and `sentBytes` is 0.
   */
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
    let isDone = false;
    const end = (report: () => void) => {
      if (isDone) return;
      isDone = true;
      this.#idleSinceMs = monotonicMs();
      this.#bytesReadBefore += this.#newBytes;
      this.#current = undefined;
      this.#socket.release();
      report();
    };
    const current: Current = {
      fail: (reason) => {
        end(() => {
          sink.onError(reason);
        });
        this.close();
      },
      bodyBytes: 0,
    };
    this.#current = current;
    this.#client.dispatch(
      {
        method: request.method as Dispatcher.HttpMethod,
        path: request.target,
        headers: request.headers,
        body: request.body,
      },
      {
        onRequestStart: (started) => {
          if (isDone) started.abort(new Error("cancelled"));
        },
        onResponseStart: (_controller, statusCode, headers) => {
          const isInformational = statusCode < STATUS_OK;
          if (isDone || isInformational) return;
          if (isFinalStatus(statusCode)) sink.onHead(statusCode, headers);
          else current.fail(`status ${statusCode} is not defined`);
        },
        onResponseData: (_controller, chunk) => {
          current.bodyBytes += chunk.length;
          if (!isDone && !sink.onData(chunk)) this.#socket.hold();
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
      resume: () => {
        this.#socket.release();
      },
      cancel: () => {
        isDone = true;
        this.close();
      },
    };
  }

  close(): void {
    // A close by this side is no orderly end of an answer.
    this.#hasFailed = true;
    // Destroying the socket aborts the connection, which the runner notices
    // even if it is not reading.
    this.#socket.destroy();
    void this.#client.destroy();
  }

  // Bytes that the client has parsed since the last request was sent or, while
  // none is in progress, since the last response.
  get #newBytes(): number {
    const { bytesRead, readableLength } = this.#socket;
    return bytesRead - readableLength - this.#bytesReadBefore;
  }

  #checkBytes(): void {
    const newBytes = this.#newBytes;
    if (newBytes === 0) return;
    const current = this.#current;
    if (!current) {
      this.close();
      return;
    }
    if (this.sentBytes === 0) {
      current.fail("bytes arrived before the request was sent");
      return;
    }
    const { bodyBytes } = current;
    const maxFramingBytes =
      MAX_FRAMING_BYTES + bodyBytes * MAX_FRAMING_PER_BODY_BYTE;
    if (newBytes - bodyBytes > maxFramingBytes) {
      current.fail("the answer has too many bytes beside its body");
    }
  }
}
