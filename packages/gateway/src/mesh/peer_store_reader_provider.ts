import type { PeerDirectory } from "@jujubeladder/coordination";
import type { Logger } from "@jujubeladder/logger";
import type { StoreReaderSelector } from "../decisions/store_reader_selector.js";
import type { StoreReader } from "../model/store_reader.js";
import { RefusedEntryLog } from "../views/refused_entry_log.js";
import { parseAddress } from "./parse_address.js";
import { PeerStoreReader } from "./peer_store_reader.js";
import type { ViewPoller } from "./view_poller.js";

/** Selects the peer that reads the store for this instance; logs changes. */
export class PeerStoreReaderProvider {
  readonly #selector: StoreReaderSelector;
  readonly #peers: PeerDirectory;
  readonly #poller: ViewPoller;
  readonly #logger: Logger;
  readonly #refusedEntries: RefusedEntryLog;
  #lastInstanceId: string | undefined;

  constructor(dependencies: {
    readonly selector: StoreReaderSelector;
    readonly peers: PeerDirectory;
    readonly poller: ViewPoller;
    readonly logger: Logger;
  }) {
    this.#selector = dependencies.selector;
    this.#peers = dependencies.peers;
    this.#poller = dependencies.poller;
    this.#logger = dependencies.logger;
    this.#refusedEntries = new RefusedEntryLog(
      dependencies.logger,
      "runner_entry_refused",
    );
  }

  /** Returns undefined if this instance reads the store itself. */
  find(): StoreReader | undefined {
    const instanceId = this.#selector.pick();
    if (instanceId !== this.#lastInstanceId) {
      this.#lastInstanceId = instanceId;
      this.#logger.info("store_reader", { reader: instanceId ?? "itself" });
    }
    if (instanceId === undefined) return undefined;
    const client = this.#peers.find(instanceId);
    const address = parseAddress(instanceId);
    if (!client || !address) return undefined;
    return new PeerStoreReader(
      instanceId,
      client,
      async () => this.#poller.poll(address),
      (runnerId, reason) => {
        this.#refusedEntries.record(runnerId, reason);
      },
    );
  }

  recordOwnFailure(): void {
    this.#selector.recordOwnFailure();
  }

  recordFailure(reader: StoreReader, reason: string): void {
    this.#selector.recordFailure(reader.instanceId);
    this.#logger.warn("store_reader_failed", {
      reader: reader.instanceId,
      reason,
    });
  }
}
