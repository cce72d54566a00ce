import type { Digest } from "@jujubeladder/protocol";
import type { Logger } from "@jujubeladder/logger";
import { describeError } from "@jujubeladder/utils";
import type { GossipState } from "./gossip_state.js";
import type { PeerDirectory } from "./peer_directory.js";

const CALL_TIMEOUT_MS = 1_500;

/** Fetches the configuration from peers that have a newer or other one. */
export class DocumentFetcher {
  readonly #state: GossipState;
  readonly #directory: PeerDirectory;
  readonly #logger: Logger;
  readonly #fetching = new Set<string>();

  constructor(
    state: GossipState,
    options: { readonly directory: PeerDirectory; readonly logger: Logger },
  ) {
    this.#state = state;
    this.#directory = options.directory;
    this.#logger = options.logger;
  }

  /** Fetches the document of a digest's sender if it may be newer. */
  async fetchIfNewer(digest: Digest): Promise<void> {
    if (!digest.sender || !this.#mayBeNewer(digest)) return;
    await this.#fetch(digest.sender.instanceId);
  }

  // Two operators may have published different documents under one revision.
  // Their content decides between them, so the peer's document is fetched too.
  #mayBeNewer(digest: Digest): boolean {
    const own = this.#state.revision();
    const theirs = Number(digest.revision);
    const isDifferent = digest.documentHash !== this.#state.documentHash();
    return theirs > own || (theirs === own && theirs > 0 && isDifferent);
  }

  async #fetch(instanceId: string): Promise<void> {
    if (this.#fetching.has(instanceId)) return;
    this.#fetching.add(instanceId);
    try {
      const response = await this.#directory
        .find(instanceId)
        ?.fetchDocument(
          { leastRevision: BigInt(this.#state.revision()) },
          { timeoutMs: CALL_TIMEOUT_MS },
        );
      if (response?.documentJson)
        this.#state.offerDocument(response.documentJson);
    } catch (error) {
      this.#logger.warn("configuration_fetch_failed", {
        peer: instanceId,
        reason: describeError(error),
      });
    } finally {
      this.#fetching.delete(instanceId);
    }
  }
}
