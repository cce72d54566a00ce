import type { DatagramEndpoint } from "@jujubeladder/coordination";
import { monotonicMs } from "@jujubeladder/utils";

/** A follower that has not asked for this long has another reader. */
const FOLLOWER_TTL_MS = 2_000;
const MAX_FOLLOWERS = 512;

/** The peers that have lately asked this instance for its view. */
export class ViewFollowers {
  readonly #askedAtMs = new Map<
    string,
    { readonly endpoint: DatagramEndpoint; readonly atMs: number }
  >();

  record(endpoint: DatagramEndpoint): void {
    const key = `${endpoint.host}:${endpoint.port}`;
    this.#askedAtMs.delete(key);
    this.#askedAtMs.set(key, { endpoint, atMs: monotonicMs() });
    if (this.#askedAtMs.size <= MAX_FOLLOWERS) return;
    const [oldest] = this.#askedAtMs.keys();
    if (oldest !== undefined) this.#askedAtMs.delete(oldest);
  }

  list(): readonly DatagramEndpoint[] {
    const sinceMs = monotonicMs() - FOLLOWER_TTL_MS;
    for (const [key, { atMs }] of this.#askedAtMs) {
      if (atMs < sinceMs) this.#askedAtMs.delete(key);
    }
    return [...this.#askedAtMs.values()].map(({ endpoint }) => endpoint);
  }
}
