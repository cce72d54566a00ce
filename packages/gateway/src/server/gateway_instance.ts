import type { Server } from "node:http";
import type { Http2Server } from "node:http2";
import {
  PeerDirectory,
  Quarantine,
  servePeers,
  type Membership,
} from "@jujubeladder/coordination";
import type { Logger } from "@jujubeladder/logger";
import { Metrics } from "@jujubeladder/metrics";
import { monotonicMs, sleep } from "@jujubeladder/utils";
import { LoadBook } from "../decisions/load_book.js";
import { OutlierScores } from "../decisions/outlier_scores.js";
import { RelayChoice } from "../decisions/relay_choice.js";
import { RetryAllowance } from "../decisions/retry_allowance.js";
import { createMembership } from "../mesh/create_membership.js";
import { PeerRoster } from "../mesh/peer_roster.js";
import { RelayFinder } from "../mesh/relay_finder.js";
import { serveViews } from "../mesh/serve_views.js";
import type { EngineControl } from "../model/engine_control.js";
import type { GatewayCodec } from "../model/gateway_codec.js";
import type { MetadataStore } from "../model/metadata_store.js";
import { LeavingScout } from "../relay/leaving_scout.js";
import { LossWatch } from "../relay/loss_watch.js";
import { PlacementDesk } from "../relay/placement_desk.js";
import { RequestRelay } from "../relay/request_relay.js";
import { RunMover } from "../relay/run_mover.js";
import { ConnectionPool } from "../transport/connection_pool.js";
import { ConfigInForce } from "../views/config_in_force.js";
import { followConfig } from "../views/follow_config.js";
import { followRunners } from "../views/follow_runners.js";
import { RunnerDirectory } from "../views/runner_directory.js";
import { RunnerMirror } from "../views/runner_mirror.js";
import { StoreLink } from "../views/store_link.js";
import { CallerServer } from "./caller_server.js";
import type { GatewaySettings } from "./gateway_settings.js";
import { serveSimple } from "./serve_simple.js";

/** Fleet size that is assumed before peers have been heard of. */
const LEAST_FLEET = 10;
/** Different runners lost to one request until it is barred. */
const QUARANTINE_LOSSES = 3;
const HOUSEKEEPING_MS = 500;
/** The balancer needs two readiness checks, a second apart, to stop. */
const STOP_ACCEPT_MS = 3_500;
/** Exit this much before the kill. */
const STOP_MARGIN_MS = 400;
/** No request has come for this long when a stopping instance exits. */
const STOP_QUIET_MS = 300;
const STOP_POLL_MS = 25;

/** One gateway instance: wires the parts, starts and stops them. */
export class GatewayInstance {
  readonly #settings: GatewaySettings;
  readonly #logger: Logger;
  readonly #metrics = new Metrics();
  readonly #config: ConfigInForce;
  readonly #directory: RunnerDirectory;
  readonly #pool = new ConnectionPool();
  readonly #roster: PeerRoster;
  readonly #membership: Membership;
  readonly #peers: PeerDirectory;
  readonly #callers: CallerServer;
  readonly #scout: LeavingScout;
  readonly #relays: RelayFinder;
  readonly #mirror = new RunnerMirror();
  readonly #configLink: StoreLink;
  readonly #runnersLink: StoreLink;
  readonly #store: MetadataStore;
  readonly #droppedLogLines: () => number;
  readonly #stopping = new AbortController();
  #stopAtMs: number | undefined;
  readonly #servers: (Server | Http2Server)[] = [];

  constructor(
    settings: GatewaySettings,
    parts: {
      readonly codec: GatewayCodec;
      readonly control: EngineControl;
      readonly store: MetadataStore;
      readonly logger: Logger;
      readonly droppedLogLines: () => number;
    },
  ) {
    const { logger, codec, control } = parts;
    this.#settings = settings;
    this.#logger = logger;
    this.#store = parts.store;
    this.#droppedLogLines = parts.droppedLogLines;
    this.#config = new ConfigInForce(codec, logger);
    this.#directory = new RunnerDirectory(logger);
    const outliers = new OutlierScores();
    const quarantine = new Quarantine(QUARANTINE_LOSSES);
    const ownAddress = `${settings.peers.host}:${settings.peers.port}`;
    this.#roster = new PeerRoster(ownAddress, settings.seeds);
    const loads = new LoadBook(() => this.#roster.countByRegion());
    this.#peers = new PeerDirectory((id) => this.#roster.find(id));
    this.#relays = new RelayFinder({
      choice: new RelayChoice(
        { instanceId: ownAddress, region: settings.region },
        () => this.#roster.listInstances(),
      ),
      peers: this.#peers,
      logger,
    });
    this.#membership = createMembership({
      ownAddress,
      settings,
      config: this.#config,
      directory: this.#directory,
      roster: this.#roster,
      peers: this.#peers,
      loads,
      quarantine,
      logger,
    });
    const lossWatch = new LossWatch({
      directory: this.#directory,
      quarantine,
      logger,
    });
    const { availabilityZone, region } = settings;
    const desk = new PlacementDesk({
      directory: this.#directory,
      loads,
      outliers,
      place: { availabilityZone, region },
      countInstances: () => this.#roster.mostInstances,
    });
    const mover = new RunMover({
      control,
      desk,
      directory: this.#directory,
      metrics: this.#metrics,
      logger,
    });
    this.#configLink = new StoreLink("configuration", { logger });
    this.#runnersLink = new StoreLink("runners", {
      logger,
      onRegained: () => {
        this.#directory.noteListRegained();
      },
    });
    this.#scout = new LeavingScout({
      control,
      directory: this.#directory,
      listSources: () => mover.listSources(),
      isListFresh: () =>
        this.#configLink.isAnswering && this.#runnersLink.isAnswering,
      logger,
    });
    const relay = new RequestRelay({
      codec,
      pool: this.#pool,
      desk,
      mover,
      directory: this.#directory,
      outliers,
      allowance: new RetryAllowance(settings.retry, () =>
        Math.max(LEAST_FLEET, this.#roster.mostInstances),
      ),
      quarantine,
      noteBreak: (runner, fingerprint) => {
        lossWatch.noteBreak(runner, fingerprint);
      },
      metrics: this.#metrics,
      logger,
    });
    this.#callers = new CallerServer({
      codec,
      config: this.#config,
      relay,
      quarantine,
      keyProofMaxAgeMs: settings.keyProofMaxAgeMs,
      stopLeftMs: () => this.#stopLeftMs(),
      metrics: this.#metrics,
      logger,
    });
  }

  /** True when new callers may be sent here. */
  get isReady(): boolean {
    const { keyProofMaxAgeMs = Number.POSITIVE_INFINITY } = this.#settings;
    return (
      this.#stopAtMs === undefined &&
      this.#config.version > 0 &&
      this.#directory.size > 0 &&
      this.#config.confirmedAgeMs <= keyProofMaxAgeMs
    );
  }

  /** Listens on all addresses and begins to follow the store. */
  async start(): Promise<void> {
    const { settings, signal } = {
      settings: this.#settings,
      signal: this.#stopping.signal,
    };
    const following = { store: this.#store, relays: this.#relays, signal };
    void followConfig({
      ...following,
      view: this.#config,
      link: this.#configLink,
    });
    void followRunners({
      ...following,
      directory: this.#directory,
      mirror: this.#mirror,
      link: this.#runnersLink,
    });
    void this.#scout.run(signal);
    const { readiness, metrics } = settings;
    this.#servers.push(
      await serveSimple(readiness, (path) => ({
        statusCode: path === readiness.path && this.isReady ? 200 : 503,
        text: this.isReady ? "ready\n" : "not ready\n",
      })),
    );
    if (metrics) {
      this.#servers.push(
        await serveSimple(metrics, (path) => ({
          statusCode: path === metrics.path ? 200 : 404,
          text: path === metrics.path ? this.#metricsText() : "",
        })),
      );
    }
    this.#servers.push(
      await servePeers(
        {
          gossip: ({ digest }) =>
            digest ? { digest: this.#membership.answer(digest) } : {},
          ...serveViews({
            config: this.#config,
            configLink: this.#configLink,
            mirror: this.#mirror,
            runnersLink: this.#runnersLink,
          }),
          fetchDocument: ({ leastRevision }) => {
            const { version, text } = this.#config;
            const isWanted = version >= Number(leastRevision);
            return {
              revision: BigInt(version),
              documentJson: isWanted ? text : "",
            };
          },
        },
        settings.peers,
      ),
    );
    void this.#membership.run(signal);
    await this.#callers.listen(settings.callers);
    void this.#keepHouse(signal);
    this.#logger.info("started", {
      instance: settings.instanceName,
      zone: settings.availabilityZone,
      caller_port: settings.callers.port,
      peer_port: settings.peers.port,
    });
  }

  /**
   * Turns new callers away, finishes what is under way, and closes; resolves
   * before the platform would kill the process.
   */
  async stop(): Promise<void> {
    if (this.#stopAtMs !== undefined) return;
    const startedAtMs = monotonicMs();
    const { stopGraceMs } = this.#settings;
    this.#stopAtMs = startedAtMs + stopGraceMs - STOP_MARGIN_MS;
    this.#logger.info("stopping", { active: this.#callers.activeCount });
    void this.#membership.leave();
    while ((this.#stopLeftMs() ?? 0) > 0) {
      const isAccepting = monotonicMs() - startedAtMs < STOP_ACCEPT_MS;
      const isBusy =
        this.#callers.activeCount > 0 || this.#callers.quietMs < STOP_QUIET_MS;
      if (!isAccepting && !isBusy) break;
      await sleep(STOP_POLL_MS);
    }
    this.close();
  }

  /** Closes at once, whatever is under way. */
  close(): void {
    this.#logger.info("stopped", { cut: this.#callers.activeCount });
    this.#stopping.abort();
    this.#callers.close();
    this.#pool.closeAll();
    this.#peers.close();
    for (const server of this.#servers) server.close();
  }

  #stopLeftMs(): number | undefined {
    return this.#stopAtMs === undefined
      ? undefined
      : this.#stopAtMs - monotonicMs();
  }

  async #keepHouse(signal: AbortSignal): Promise<void> {
    let wasReady: boolean | undefined;
    while (!signal.aborted) {
      this.#pool.closeIdle();
      const { isReady } = this;
      if (isReady !== wasReady) {
        this.#logger.info("readiness", {
          is_ready: isReady,
          config_version: this.#config.version,
          config_age_ms: this.#config.confirmedAgeMs,
          runners: this.#directory.size,
        });
        wasReady = isReady;
      }
      await sleep(HOUSEKEEPING_MS, signal);
    }
  }

  #metricsText(): string {
    const gauges = [
      `jujubeladder_active_requests ${this.#callers.activeCount}`,
      `jujubeladder_config_version ${this.#config.version}`,
      `jujubeladder_config_age_ms ${this.#config.confirmedAgeMs}`,
      `jujubeladder_runners ${this.#directory.size}`,
      `jujubeladder_log_lines_dropped_total ${this.#droppedLogLines()}`,
    ];
    return `${this.#metrics.toScrapeText()}${gauges.join("\n")}\n`;
  }
}
