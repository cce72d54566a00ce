import {
  connect,
  constants,
  type ClientHttp2Session,
  type ClientHttp2Stream,
  type ClientSessionRequestOptions,
  type OutgoingHttpHeaders,
} from "node:http2";
import { connect as connectSocket, type Socket } from "node:net";
import { Code, ConnectError } from "@connectrpc/connect";
import { monotonicMs } from "@jujubeladder/utils";

/** A connection that received nothing for this long is probed before use. */
const PROBE_AFTER_MS = 1_000;
/** Inter-region round trips are under 100 ms; the rest is for busy peers. */
const PROBE_TIMEOUT_MS = 1_000;
/** Same as the probe timeout: connecting also takes one round trip. */
const CONNECT_TIMEOUT_MS = 1_000;
/**
 * Peers in use are called every few seconds; a connection that is idle for
 * longer is closed.
 */
const IDLE_TIMEOUT_MS = 5_000;

/** One HTTP/2 connection to a peer. */
export class PeerConnection {
  readonly #session: ClientHttp2Session;
  readonly #socket: Socket;
  #lastReceivedAtMs = monotonicMs();

  private constructor(session: ClientHttp2Session, socket: Socket) {
    this.#session = session;
    this.#socket = socket;
    session.setTimeout(IDLE_TIMEOUT_MS, () => {
      session.close();
    });
    session.unref();
  }

  /** Connects to a peer; rejects with `Unavailable` if that fails. */
  static async open(authority: string): Promise<PeerConnection> {
    const { hostname, port } = new URL(authority);
    const socket = connectSocket({ host: hostname, port: Number(port) });
    const session = connect(authority, { createConnection: () => socket });
    return await new Promise((resolve, reject) => {
      const fail = (reason: string) => {
        clearTimeout(timer);
        reject(new ConnectError(reason, Code.Unavailable));
      };
      const timer = setTimeout(() => {
        fail("the connection timed out");
        session.destroy();
        socket.destroy();
      }, CONNECT_TIMEOUT_MS);
      // Never removed: a destroyed connection may still emit an error, which
      // would otherwise be uncaught and end the process.
      session.on("error", (error) => {
        fail(error.message);
      });
      session.once("close", () => {
        fail("the connection was closed");
      });
      session.once("connect", () => {
        clearTimeout(timer);
        resolve(new PeerConnection(session, socket));
      });
    });
  }

  /** True once no new calls can start; calls in flight may still finish. */
  get isClosed(): boolean {
    return this.#session.closed || this.#session.destroyed;
  }

  /** Checks that the peer responds; probes it if it has been silent. */
  async isLive(): Promise<boolean> {
    return !this.#isProbeDue || (await this.#probe());
  }

  request(
    headers: OutgoingHttpHeaders,
    options: Omit<ClientSessionRequestOptions, "signal">,
  ): ClientHttp2Stream {
    const stream = this.#session.request(headers, options);
    this.#monitor(stream);
    return stream;
  }

  /** Records that data was received from the peer. */
  recordActivity(): void {
    this.#lastReceivedAtMs = monotonicMs();
  }

  /** Fails calls in flight and closes without waiting for the peer. */
  destroy(): void {
    const error = new ConnectError(
      "the peer does not answer",
      Code.Unavailable,
    );
    this.#session.destroy(error, constants.NGHTTP2_CANCEL);
    // The session alone would wait for the peer to close its side too.
    this.#socket.destroy();
  }

  get #isProbeDue(): boolean {
    return monotonicMs() - this.#lastReceivedAtMs >= PROBE_AFTER_MS;
  }

  // Probes while a call is in flight, so that it fails within seconds if the
  // peer stops responding.
  #monitor(stream: ClientHttp2Stream): void {
    let isProbing = false;
    const timer = setInterval(() => {
      if (isProbing || !this.#isProbeDue) return;
      isProbing = true;
      void this.#probe().then((isLive) => {
        isProbing = false;
        if (!isLive) this.destroy();
      });
    }, PROBE_AFTER_MS / 2);
    stream.once("response", () => {
      this.recordActivity();
    });
    stream.once("close", () => {
      clearInterval(timer);
    });
  }

  async #probe(): Promise<boolean> {
    return await new Promise((resolve) => {
      const timer = setTimeout(() => {
        resolve(false);
      }, PROBE_TIMEOUT_MS);
      const finish = (isLive: boolean) => {
        clearTimeout(timer);
        if (isLive) this.recordActivity();
        resolve(isLive);
      };
      const isSent =
        !this.#session.destroyed &&
        this.#session.ping((error) => {
          finish(!error);
        });
      if (!isSent) finish(false);
    });
  }
}
