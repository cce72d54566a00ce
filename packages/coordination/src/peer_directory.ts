import { createClient, type Client } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { PeerService } from "@jujubeladder/protocol";
import type { Instance } from "@jujubeladder/types";
import { PeerSession } from "./peer_session.js";

/** A plain service's largest answer, and what describes it. */
const MAX_RESPONSE_BYTES = 32 * 1_048_576;

interface Entry {
  readonly url: string;
  readonly client: Client<typeof PeerService>;
  readonly session: PeerSession;
}

/** Looks up an instance's address in the instance list. */
type FindInstance = (instanceId: string) => Instance | undefined;

/**
 * Caches one client per peer, keyed by instance id. Connections with calls in
 * flight are probed, so that calls to an unresponsive peer fail within seconds.
 */
export class PeerDirectory {
  readonly #findInstance: FindInstance;
  readonly #entries = new Map<string, Entry>();

  constructor(findInstance: FindInstance) {
    this.#findInstance = findInstance;
  }

  /**
   * Returns a peer's client, or undefined if the instance is not listed, or is
   * at an address that is none.
   */
  find(instanceId: string): Client<typeof PeerService> | undefined {
    const instance = this.#findInstance(instanceId);
    const url = instance && `http://${instance.host}:${instance.peerPort}`;
    if (url === undefined || !URL.canParse(url)) {
      this.#drop(instanceId);
      return undefined;
    }
    const known = this.#entries.get(instanceId);
    if (known?.url === url) return known.client;
    this.#drop(instanceId);
    const entry = connect(url);
    this.#entries.set(instanceId, entry);
    return entry.client;
  }

  close(): void {
    for (const instanceId of this.#entries.keys()) this.#drop(instanceId);
  }

  #drop(instanceId: string): void {
    this.#entries.get(instanceId)?.session.abort();
    this.#entries.delete(instanceId);
  }
}

function connect(url: string): Entry {
  const session = new PeerSession(url);
  const transport = createConnectTransport({
    baseUrl: url,
    httpVersion: "2",
    sessionManager: session,
    readMaxBytes: MAX_RESPONSE_BYTES,
  });
  return { url, session, client: createClient(PeerService, transport) };
}
