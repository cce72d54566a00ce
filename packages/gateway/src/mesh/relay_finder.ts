import type { PeerDirectory } from "@jujubeladder/coordination";
import type { Logger } from "@jujubeladder/logger";
import type { RelayChoice } from "../decisions/relay_choice.js";
import type { ViewRelay } from "../model/view_relay.js";
import { PeerRelay } from "./peer_relay.js";

/** Finds the peer that reads the store for this instance, and logs changes. */
export class RelayFinder {
  readonly #choice: RelayChoice;
  readonly #peers: PeerDirectory;
  readonly #logger: Logger;
  #last: string | undefined;

  constructor(parts: {
    readonly choice: RelayChoice;
    readonly peers: PeerDirectory;
    readonly logger: Logger;
  }) {
    this.#choice = parts.choice;
    this.#peers = parts.peers;
    this.#logger = parts.logger;
  }

  /** Undefined when this instance reads the store by itself. */
  find(): ViewRelay | undefined {
    const instanceId = this.#choice.pick();
    if (instanceId !== this.#last) {
      this.#last = instanceId;
      this.#logger.info("store_reader", { reader: instanceId ?? "itself" });
    }
    if (instanceId === undefined) return undefined;
    const client = this.#peers.find(instanceId);
    return client && new PeerRelay(instanceId, client);
  }

  noteOwnFailure(): void {
    this.#choice.noteOwnFailure();
  }

  noteFailure(relay: ViewRelay, reason: string): void {
    this.#choice.noteFailure(relay.instanceId);
    this.#logger.warn("store_reader_failed", {
      reader: relay.instanceId,
      reason,
    });
  }
}
