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

/** A connection that carried nothing for this long is probed before use. */
const PROBE_AFTER_MS = 1_000;
/** A round trip between regions is under 100 ms; the rest is for busy peers. */
const PROBE_TIMEOUT_MS = 1_000;
/** As for a probe: a connection that is made takes a round trip as well. */
const CONNECT_TIMEOUT_MS = 1_000;
/** Peers are called every few seconds; what is idle for longer is let go. */
const IDLE_CLOSE_MS = 5_000;

/** One HTTP/2 connection to a peer. */
export class PeerConnection {
  readonly #session: ClientHttp2Session;
  readonly #socket: Socket;
  #heardAtMs = monotonicMs();

  private constructor(session: ClientHttp2Session, socket: Socket) {
    this.#session = session;
    this.#socket = socket;
    session.setTimeout(IDLE_CLOSE_MS, () => {
      session.close();
    });
    session.unref();
  }

  /** Connects; rejects when the peer can't be reached. */
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
      // Stays for good: a connection that was given up may still report one.
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

  /** True once no further calls can begin; those under way may finish. */
  get isClosed(): boolean {
    return this.#session.closed || this.#session.destroyed;
  }

  /** True when the peer answers, as far as that is known or can be found. */
  async isLive(): Promise<boolean> {
    return !this.#isSilent || (await this.#probe());
  }

  request(
    headers: OutgoingHttpHeaders,
    options: Omit<ClientSessionRequestOptions, "signal">,
  ): ClientHttp2Stream {
    const stream = this.#session.request(headers, options);
    this.#watch(stream);
    return stream;
  }

  /** Notes that the peer has sent something. */
  noteHeard(): void {
    this.#heardAtMs = monotonicMs();
  }

  /** Fails the calls under way and closes, also where the peer is silent. */
  giveUp(): void {
    const error = new ConnectError(
      "the peer does not answer",
      Code.Unavailable,
    );
    this.#session.destroy(error, constants.NGHTTP2_CANCEL);
    // The session would wait for the peer to close as well.
    this.#socket.destroy();
  }

  get #isSilent(): boolean {
    return monotonicMs() - this.#heardAtMs >= PROBE_AFTER_MS;
  }

  // Probes while a call is under way, so that it fails within seconds.
  #watch(stream: ClientHttp2Stream): void {
    let isProbing = false;
    const timer = setInterval(() => {
      if (isProbing || !this.#isSilent) return;
      isProbing = true;
      void this.#probe().then((isLive) => {
        isProbing = false;
        if (!isLive) this.giveUp();
      });
    }, PROBE_AFTER_MS / 2);
    stream.once("response", () => {
      this.noteHeard();
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
        if (isLive) this.noteHeard();
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
