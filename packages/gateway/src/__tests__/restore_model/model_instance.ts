import type {
  Membership,
  PeerDatagrams,
  PeerDirectory,
} from "@jujubeladder/coordination";
import { Quarantine } from "@jujubeladder/coordination";
import { Logger } from "@jujubeladder/logger";
import type {
  Digest,
  FetchDocumentRequest,
  ViewState,
} from "@jujubeladder/protocol";
import { LoadTracker } from "../../decisions/load_tracker.js";
import { StoreReaderSelector } from "../../decisions/store_reader_selector.js";
import { createMembership } from "../../mesh/create_membership.js";
import { createViewHandlers } from "../../mesh/create_view_handlers.js";
import { PeerRoster } from "../../mesh/peer_roster.js";
import { PeerStoreReaderProvider } from "../../mesh/peer_store_reader_provider.js";
import { readViewState } from "../../mesh/read_view_state.js";
import { ViewFollowers } from "../../mesh/view_followers.js";
import { ViewPoller } from "../../mesh/view_poller.js";
import type { GatewayCodec } from "../../model/gateway_codec.js";
import { ActiveConfig } from "../../views/active_config.js";
import { RunnerDirectory } from "../../views/runner_directory.js";
import { RunnerWatchCache } from "../../views/runner_watch_cache.js";
import { StoreReadHealth } from "../../views/store_read_health.js";
import { syncConfig } from "../../views/sync_config.js";
import { syncRunners } from "../../views/sync_runners.js";
import type { MetadataStore } from "../../model/metadata_store.js";
import type { ModelNetwork } from "./model_network.js";
import type { ModelStore } from "./model_store.js";

const LOGGER = new Logger({});
const QUARANTINE_THRESHOLD = 3;
const LOCATION = { availabilityZone: "z", region: "r" };

/** Decodes documents that hold a version and a text to tell them apart. */
const CODEC = {
  decodeConfig: (text: string) => {
    const { version } = JSON.parse(text) as { readonly version: number };
    const value = {
      version,
      routes: [],
      services: [],
      authentication: { type: "none" },
    };
    return { ok: true, value };
  },
} as unknown as GatewayCodec;

/** One start of an instance: its views of the store, without any server. */
export class ModelInstance {
  readonly address: string;
  readonly activeConfig = new ActiveConfig(CODEC, LOGGER);
  readonly directory = new RunnerDirectory(LOGGER);
  readonly handlers: ReturnType<typeof createViewHandlers>;
  readonly #network: ModelNetwork;
  readonly #store: MetadataStore;
  readonly #stopping = new AbortController();
  readonly #roster: PeerRoster;
  readonly #membership: Membership;
  readonly #followers = new ViewFollowers();
  readonly #poller: ViewPoller;
  readonly #readerProvider: PeerStoreReaderProvider;
  readonly #configHealth = new StoreReadHealth("configuration", {
    logger: LOGGER,
  });
  readonly #runnersHealth = new StoreReadHealth("runners", {
    logger: LOGGER,
    onRecovered: () => {
      this.directory.startReregistrationGrace();
    },
  });
  readonly #watchCache = new RunnerWatchCache({
    onChanged: () => {
      this.#announceView();
    },
  });
  isCutFromStore = false;
  isCutFromPeers = false;

  constructor(
    address: string,
    options: {
      readonly seeds: readonly string[];
      readonly network: ModelNetwork;
      readonly store: ModelStore;
    },
  ) {
    this.address = address;
    const { network, store, seeds } = options;
    this.#network = network;
    this.#store = store.connect(() => this.isRunning && !this.isCutFromStore);
    this.#roster = new PeerRoster(address, seeds);
    const peers = {
      find: (id: string) => this.#roster.find(id) && network.connect(this, id),
    } as unknown as PeerDirectory;
    const peerDatagrams = {
      exchangeDigests: async (
        to: { readonly host: string; readonly port: number },
        digest: Digest,
      ) => network.exchangeDigests(this, toAddress(to), digest),
    } as unknown as PeerDatagrams;
    this.#poller = new ViewPoller(async (to) =>
      network.queryView(this, toAddress(to)),
    );
    this.activeConfig.events.on("changed", () => {
      this.#announceView();
    });
    this.#readerProvider = new PeerStoreReaderProvider({
      selector: new StoreReaderSelector(
        { instanceId: address, region: LOCATION.region },
        () => this.#roster.listInstances(),
      ),
      peers,
      poller: this.#poller,
      logger: LOGGER,
    });
    this.#membership = createMembership({
      ownAddress: address,
      settings: LOCATION,
      activeConfig: this.activeConfig,
      directory: this.directory,
      roster: this.#roster,
      peers,
      peerDatagrams,
      store: this.#store,
      loadTracker: new LoadTracker(() => this.#roster.countByRegion()),
      quarantine: new Quarantine(QUARANTINE_THRESHOLD),
      logger: LOGGER,
    });
    this.handlers = createViewHandlers(this.#views);
  }

  get isRunning(): boolean {
    return !this.#stopping.signal.aborted;
  }

  start(): void {
    this.#network.set(this);
    const dependencies = {
      store: this.#store,
      readerProvider: this.#readerProvider,
      signal: this.#stopping.signal,
    };
    void syncConfig({
      ...dependencies,
      activeConfig: this.activeConfig,
      health: this.#configHealth,
    });
    void syncRunners({
      ...dependencies,
      directory: this.directory,
      watchCache: this.#watchCache,
      health: this.#runnersHealth,
    });
    void this.#membership.run(this.#stopping.signal);
  }

  /** Tells of peers, as the gossip of a fleet that has run for long would. */
  meet(addresses: readonly string[]): void {
    for (const address of addresses) {
      this.#roster.record({ address, ...LOCATION, ageMs: 0 });
    }
  }

  stop(): void {
    this.#stopping.abort();
  }

  handleDigest(digest: Digest): Digest {
    return this.#membership.handleDigest(digest);
  }

  answerViewQuery(from: string): ViewState {
    this.#followers.record(toEndpoint(from));
    return readViewState(this.#views);
  }

  handleAnnouncement(from: string): void {
    this.#poller.handleAnnouncement(toEndpoint(from));
  }

  fetchDocument({ leastRevision }: FetchDocumentRequest) {
    const { version, text } = this.activeConfig;
    const documentJson = version >= Number(leastRevision) ? text : "";
    return { revision: BigInt(version), documentJson };
  }

  get #views() {
    return {
      activeConfig: this.activeConfig,
      configHealth: this.#configHealth,
      watchCache: this.#watchCache,
      runnersHealth: this.#runnersHealth,
    };
  }

  #announceView(): void {
    for (const peer of this.#followers.list()) {
      this.#network.announceView(this, toAddress(peer));
    }
  }
}

function toAddress(peer: { readonly host: string; readonly port: number }) {
  return `${peer.host}:${peer.port}`;
}

function toEndpoint(address: string) {
  const [host = "", port = ""] = address.split(":");
  return { host, port: Number(port) };
}
