import type { DatagramEndpoint } from "@jujubeladder/coordination";
import type { ViewState } from "@jujubeladder/protocol";
import { monotonicMs } from "@jujubeladder/utils";

/**
 * Pause between two queries. It bounds the delay of a change whose announcement
 * is lost, and keeps proofs of the configuration fresh.
 */
const QUERY_INTERVAL_MS = 350;

/**
 * Asks this instance's store reader for its view: once per interval for all who
 * wait for it, and at once after an announcement of a change.
 */
export class ViewPoller {
  readonly #query: (peer: DatagramEndpoint) => Promise<ViewState | undefined>;
  #queriedAtMs = Number.NEGATIVE_INFINITY;
  #isAnnounced = false;
  #wake: (() => void) | undefined;
  #current:
    | {
        readonly peer: DatagramEndpoint;
        readonly view: Promise<ViewState | undefined>;
      }
    | undefined;

  constructor(
    query: (peer: DatagramEndpoint) => Promise<ViewState | undefined>,
  ) {
    this.#query = query;
  }

  /** Returns the peer's next view; undefined if it does not answer. */
  async poll(peer: DatagramEndpoint): Promise<ViewState | undefined> {
    const { host, port } = this.#current?.peer ?? {};
    if (!this.#current || host !== peer.host || port !== peer.port) {
      const view = this.#pauseAndQuery(peer).finally(() => {
        if (this.#current?.view === view) this.#current = undefined;
      });
      this.#current = { peer, view };
    }
    return await this.#current.view;
  }

  /** A peer's view has changed. */
  handleAnnouncement({ host, port }: DatagramEndpoint): void {
    const { peer } = this.#current ?? {};
    if (peer?.host !== host || peer.port !== port) return;
    this.#isAnnounced = true;
    this.#wake?.();
  }

  async #pauseAndQuery(peer: DatagramEndpoint): Promise<ViewState | undefined> {
    const pauseMs = this.#queriedAtMs + QUERY_INTERVAL_MS - monotonicMs();
    if (pauseMs > 0 && !this.#isAnnounced) await this.#pause(pauseMs);
    this.#isAnnounced = false;
    this.#queriedAtMs = monotonicMs();
    return await this.#query(peer);
  }

  async #pause(pauseMs: number): Promise<void> {
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, pauseMs);
      this.#wake = () => {
        clearTimeout(timer);
        resolve();
      };
    });
    this.#wake = undefined;
  }
}
