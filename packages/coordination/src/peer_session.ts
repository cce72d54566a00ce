import type {
  ClientHttp2Stream,
  ClientSessionRequestOptions,
  OutgoingHttpHeaders,
} from "node:http2";
import { PeerConnection } from "./peer_connection.js";

/**
 * Calls to one peer over a connection that is opened when needed, probed
 * after a silence, and replaced when the peer does not answer on it.
 */
export class PeerSession {
  readonly authority: string;
  #connection: PeerConnection | undefined;
  #finding: Promise<PeerConnection> | undefined;

  constructor(url: string) {
    this.authority = new URL(url).origin;
  }

  /** Begins a call; rejects when the peer can't be reached. */
  async request(
    method: string,
    path: string,
    headers: OutgoingHttpHeaders,
    options: Omit<ClientSessionRequestOptions, "signal">,
  ): Promise<ClientHttp2Stream> {
    const connection = await this.#find();
    return connection.request(
      { ...headers, ":method": method, ":path": path },
      options,
    );
  }

  notifyResponseByteRead(): void {
    this.#connection?.noteHeard();
  }

  /** Fails the calls under way; a later call connects anew. */
  abort(): void {
    this.#connection?.giveUp();
    this.#connection = undefined;
  }

  // Calls that come meanwhile share the search and its failure.
  async #find(): Promise<PeerConnection> {
    this.#finding ??= this.#findLive().finally(() => {
      this.#finding = undefined;
    });
    return await this.#finding;
  }

  async #findLive(): Promise<PeerConnection> {
    const known = this.#connection;
    if (known && !known.isClosed) {
      if (await known.isLive()) return known;
      known.giveUp();
    }
    this.#connection = await PeerConnection.open(this.authority);
    return this.#connection;
  }
}
