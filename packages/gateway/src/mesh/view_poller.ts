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
  /** The peer that was asked last, which announces its changes. */
  #asked: DatagramEndpoint | undefined;
  #isAnnounced = false;
  #wake: (() => void) | undefined;
  #current:
    | {
        readonly peer: DatagramEndpoint;
        readonly view: Promise<ViewState | undefined>;
        isSent: boolean;
      }
    | undefined;

  constructor(
    query: (peer: DatagramEndpoint) => Promise<ViewState | undefined>,
  ) {
    this.#query = query;
  }

  /**
   * Returns the peer's next view; undefined if it does not answer. The view is
   * asked for after this call, so that its ages can be counted from it.
   */
  async poll(peer: DatagramEndpoint): Promise<ViewState | undefined> {
    const isOther = !isSame(peer, this.#current?.peer);
    if (!this.#current || isOther || this.#current.isSent) {
      const view = this.#pauseAndQuery(peer, () => {
        if (this.#current?.view === view) this.#current.isSent = true;
      }).finally(() => {
        if (this.#current?.view === view) this.#current = undefined;
      });
      this.#current = { peer, view, isSent: false };
    }
    return await this.#current.view;
  }

  /**
   * A peer's view has changed. A new reader announces nothing before it has been
   * asked; until then, the announcements of the one before count.
   */
  handleAnnouncement(from: DatagramEndpoint): void {
    const isAwaited = isSame(from, this.#current?.peer);
    if (!isAwaited && !isSame(from, this.#asked)) return;
    this.#isAnnounced = true;
    this.#wake?.();
  }

  async #pauseAndQuery(
    peer: DatagramEndpoint,
    onSend: () => void,
  ): Promise<ViewState | undefined> {
    const pauseMs = this.#queriedAtMs + QUERY_INTERVAL_MS - monotonicMs();
    // Waits in any case, so that the caller can record this query first.
    await this.#pause(this.#isAnnounced ? 0 : Math.max(0, pauseMs));
    this.#isAnnounced = false;
    this.#queriedAtMs = monotonicMs();
    this.#asked = peer;
    onSend();
    return await this.#query(peer);
  }

  async #pause(pauseMs: number): Promise<void> {
    if (pauseMs === 0) return;
    await new Promise<void>((resolve) => {
      const timer = setTimeout(resolve, pauseMs);
      const wake = () => {
        clearTimeout(timer);
        if (this.#wake === wake) this.#wake = undefined;
        resolve();
      };
      this.#wake = wake;
    });
  }
}

function isSame(a: DatagramEndpoint, b: DatagramEndpoint | undefined): boolean {
  return a.host === b?.host && a.port === b.port;
}
