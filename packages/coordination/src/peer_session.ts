import type {
  ClientHttp2Stream,
  ClientSessionRequestOptions,
  OutgoingHttpHeaders,
} from "node:http2";
import { PeerConnection } from "./peer_connection.js";

/**
 * Sends calls to one peer over a connection that is opened on demand, probed
 * after a silent period and replaced if the peer does not respond on it.
 */
export class PeerSession {
  readonly authority: string;
  #connection: PeerConnection | undefined;
  #pending: Promise<PeerConnection> | undefined;

  constructor(url: string) {
    this.authority = new URL(url).origin;
  }

  /** Starts a call; rejects with `Unavailable` if the peer is unreachable. */
  async request(
    method: string,
    path: string,
    headers: OutgoingHttpHeaders,
    options: Omit<ClientSessionRequestOptions, "signal">,
  ): Promise<ClientHttp2Stream> {
    const connection = await this.#acquire();
    return connection.request(
      { ...headers, ":method": method, ":path": path },
      options,
    );
  }

  notifyResponseByteRead(): void {
    this.#connection?.recordActivity();
  }

  /** Fails calls in flight; the next call opens a new connection. */
  abort(): void {
    this.#connection?.destroy();
    this.#connection = undefined;
  }

  // Concurrent calls share one connection attempt and its failure.
  async #acquire(): Promise<PeerConnection> {
    this.#pending ??= this.#reuseOrOpen().finally(() => {
      this.#pending = undefined;
    });
    return await this.#pending;
  }

  async #reuseOrOpen(): Promise<PeerConnection> {
    const known = this.#connection;
    if (known && !known.isClosed) {
      if (await known.isLive()) return known;
      known.destroy();
    }
    this.#connection = await PeerConnection.open(this.authority);
    return this.#connection;
  }
}
