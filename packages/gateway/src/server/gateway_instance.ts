import type { Server } from "node:http";
import type { Http2Server } from "node:http2";
import process from "node:process";
import {
  PeerDatagrams,
  PartQuarantine,
  PeerDirectory,
  Quarantine,
  servePeers,
  type DatagramEndpoint,
  type Membership,
} from "@jujubeladder/coordination";
import type { Logger } from "@jujubeladder/logger";
import { Metrics } from "@jujubeladder/metrics";
import {
  LoadTableSchema,
  type LoadTable,
  type ViewState,
} from "@jujubeladder/protocol";
import { create } from "@bufbuild/protobuf";
import { programDigest, sleep } from "@jujubeladder/utils";
import { ColdRunnerLimiter } from "../decisions/cold_runner_limiter.js";
import { computeCheckIntervalMs } from "../decisions/compute_check_interval_ms.js";
import { FleetLoads } from "../decisions/fleet_loads.js";
import { LoadTracker } from "../decisions/load_tracker.js";
import { OutlierScores } from "../decisions/outlier_scores.js";
import { StoreReaderSelector } from "../decisions/store_reader_selector.js";
import { SMALL_FLEET_MAX_INSTANCES } from "../decisions/small_fleet_max_instances.js";
import { FleetRetryBudget } from "../decisions/fleet_retry_budget.js";
import { formatRetryBudget } from "../decisions/format_retry_budget.js";
import { createMembership } from "../mesh/create_membership.js";
import { decodeLoadTable } from "../mesh/decode_load_table.js";
import { encodeLoadTable } from "../mesh/encode_load_table.js";
import { MAX_TABLE_RUNNERS } from "../mesh/max_table_runners.js";
import { LoadExchange } from "../mesh/load_exchange.js";
import { decodeEvacuations } from "../mesh/decode_evacuations.js";
import { RatePermits } from "../mesh/rate_permits.js";
import { PeerRoster } from "../mesh/peer_roster.js";
import { PeerStoreReaderProvider } from "../mesh/peer_store_reader_provider.js";
import { createViewHandlers } from "../mesh/create_view_handlers.js";
import { readViewState } from "../mesh/read_view_state.js";
import { StreamOriginExchange } from "../mesh/stream_origin_exchange.js";
import { ViewFollowers } from "../mesh/view_followers.js";
import { ViewPoller } from "../mesh/view_poller.js";
import type { EngineControl } from "../model/engine_control.js";
import type { GatewayCodec } from "../model/gateway_codec.js";
import type { PlacementQuestion } from "../model/placement_question.js";
import type { MetadataStore } from "../model/metadata_store.js";
import { LeavePoller } from "../relay/leave_poller.js";
import { CrashDetector } from "../relay/crash_detector.js";
import { ProcessChecker } from "../relay/process_checker.js";
import { EndChecker } from "../relay/end_checker.js";
import { PartEvidenceRecorder } from "../relay/part_evidence_recorder.js";
import { PlacementRules } from "../relay/placement_rules.js";
import { PlacementScheduler } from "../relay/placement_scheduler.js";
import { RequestRelay } from "../relay/request_relay.js";
import { RetryBooker } from "../relay/retry_booker.js";
import { StreamTakeUps } from "../relay/stream_take_ups.js";
import { RunMigrator } from "../relay/run_migrator.js";
import { RunnerNotices } from "../relay/runner_notices.js";
import { RESPONSE_MEMORY } from "../transport/response_memory.js";
import { ConnectionPool } from "../transport/connection_pool.js";
import { ActiveConfig } from "../views/active_config.js";
import { ColdRunners } from "../views/cold_runners.js";
import { EvacuatedZones } from "../views/evacuated_zones.js";
import { syncConfig } from "../views/sync_config.js";
import { syncRunners } from "../views/sync_runners.js";
import { RunnerDirectory } from "../views/runner_directory.js";
import { RunnerPauses } from "../views/runner_pauses.js";
import { OnlyVersions } from "../views/only_versions.js";
import { SoftwareSightings } from "../views/software_sightings.js";
import { UnseenRunnerChanges } from "../views/unseen_runner_changes.js";
import { StreamOrigins } from "../views/stream_origins.js";
import { readSoftwareHistory } from "../views/read_software_history.js";
import { RunnerRateLimits } from "../views/runner_rate_limits.js";
import { RunnerWatchCache } from "../views/runner_watch_cache.js";
import { StoreReadHealth } from "../views/store_read_health.js";
import { CallerServer } from "./caller_server.js";
import { computeProcessLimits } from "./compute_process_limits.js";
import { EventLoopMeter } from "./event_loop_meter.js";
import { explainRequest } from "./explain_request.js";
import type { GatewaySettings } from "./gateway_settings.js";
import { logSuspicionChange } from "./log_suspicion_change.js";
import { PlannedStop } from "./planned_stop.js";
import { serveText } from "./serve_text.js";

/** Fleet size assumed until gossip has reported a larger one. */
const MIN_FLEET_SIZE = 10;
/** A request is quarantined after the loss of this many runner incarnations. */
const QUARANTINE_THRESHOLD = 3;
/** What stores keep that state no time. */
const DEFAULT_HISTORY_MS = 20_000;
const HOUSEKEEPING_INTERVAL_MS = 500;
/** Served beside the metrics, which callers do not reach. */
const EXPLAIN_PATH = "/explain";

/** One gateway instance: wires its components, starts and stops them. */
export class GatewayInstance {
  readonly #settings: GatewaySettings;
  readonly #logger: Logger;
  readonly #metrics = new Metrics();
  readonly #activeConfig: ActiveConfig;
  readonly #directory: RunnerDirectory;
  readonly #evacuatedZones: EvacuatedZones;
  readonly #rateLimits: RunnerRateLimits;
  readonly #permits: RatePermits;
  readonly #sightings: SoftwareSightings;
  readonly #originExchange: StreamOriginExchange;
  #isReadingHistory = false;
  readonly #pool = new ConnectionPool();
  readonly #roster: PeerRoster;
  readonly #membership: Membership;
  readonly #peers: PeerDirectory;
  readonly #peerDatagrams: PeerDatagrams;
  readonly #quarantine: Quarantine;
  readonly #retryBudget: FleetRetryBudget;
  readonly #relay: RequestRelay;
  readonly #scheduler: PlacementScheduler;
  readonly #callerServer: CallerServer;
  readonly #leavePoller: LeavePoller;
  readonly #readerProvider: PeerStoreReaderProvider;
  readonly #readerSelector: StoreReaderSelector;
  readonly #fleetLoads: FleetLoads;
  readonly #loadExchange: LoadExchange;
  readonly #watchCache = new RunnerWatchCache({
    onChanged: () => {
      this.#announceView();
    },
    onRead: (read) => {
      this.#sightings.recordRead(read);
    },
  });
  readonly #viewFollowers = new ViewFollowers();
  readonly #viewPoller: ViewPoller;
  readonly #configHealth: StoreReadHealth;
  readonly #runnersHealth: StoreReadHealth;
  readonly #store: MetadataStore;
  readonly #droppedLogLines: () => number;
  readonly #stopping = new AbortController();
  readonly #plannedStop: PlannedStop;
  readonly #eventLoopMeter = new EventLoopMeter();
  readonly #servers: (Server | Http2Server)[] = [];

  constructor(
    settings: GatewaySettings,
    dependencies: {
      readonly codec: GatewayCodec;
      readonly control: EngineControl;
      readonly store: MetadataStore;
      readonly logger: Logger;
      readonly droppedLogLines: () => number;
    },
  ) {
    const { logger, codec, control } = dependencies;
    this.#settings = settings;
    this.#logger = logger;
    const limits = computeProcessLimits(settings.machine ?? {});
    RESPONSE_MEMORY.setMaxBytes(limits.answersBytes);
    this.#plannedStop = new PlannedStop(settings.stopGraceMs, logger);
    this.#store = dependencies.store;
    this.#droppedLogLines = dependencies.droppedLogLines;
    this.#activeConfig = new ActiveConfig(codec, logger);
    this.#directory = new RunnerDirectory(logger, (runner) => {
      this.#sightings.recordSighting(runner);
    });
    this.#evacuatedZones = new EvacuatedZones(logger);
    this.#rateLimits = new RunnerRateLimits(logger);
    this.#sightings = new SoftwareSightings(() => this.#directory.listAll(), {
      entryLifetimeMs: settings.runnerEntryLifetimeMs ?? 0,
      onGap: () => {
        void this.#readSoftwareHistory();
      },
    });
    const coldRunners = new ColdRunners();
    this.#directory.events.on("started", (runner) => {
      coldRunners.recordStart(runner);
    });
    this.#evacuatedZones.events.on("returned", (zone) => {
      coldRunners.recordZoneReturn(zone);
    });
    this.#evacuatedZones.events.on("changed", () => {
      this.#announceView();
    });
    this.#store.onEvacuations?.((update) => {
      this.#evacuatedZones.apply(update);
    });
    const outliers = new OutlierScores();
    const quarantine = new Quarantine(QUARANTINE_THRESHOLD, {
      onChange: (change) => {
        logSuspicionChange(logger, change);
        if (change.status === "cleared")
          this.#membership.reportSuspicion(change.fingerprint);
      },
    });
    this.#quarantine = quarantine;
    const partQuarantine = new PartQuarantine();
    const partEvidence = new PartEvidenceRecorder({
      quarantine: partQuarantine,
      onNews: () => {
        this.#membership.spread();
      },
      logger,
    });
    const ownAddress = `${settings.peers.host}:${settings.peers.port}`;
    this.#roster = new PeerRoster(ownAddress, settings.seeds);
    const loadTracker = new LoadTracker(
      () => this.#roster.countByRegion(),
      (runnerId) =>
        this.#sharesLoads ? this.#fleetLoads.find(runnerId) : undefined,
    );
    this.#fleetLoads = new FleetLoads(() => loadTracker.describeOwn());
    this.#peers = new PeerDirectory((id) => this.#roster.find(id));
    this.#peerDatagrams = new PeerDatagrams(logger);
    const queryView = async (peer: DatagramEndpoint) => {
      const loads = this.#sharesLoads
        ? { loads: encodeLoadTable(loadTracker.describeOwn()) }
        : {};
      const view = await this.#peerDatagrams.queryView(peer, loads);
      const others = decodeLoadTable(view?.otherLoads);
      if (others) this.#fleetLoads.recordAnswer(others);
      const evacuations = decodeEvacuations(view?.evacuations);
      if (evacuations) this.#evacuatedZones.mergePeer(evacuations);
      return view;
    };
    this.#viewPoller = new ViewPoller(queryView);
    this.#activeConfig.events.on("changed", () => {
      this.#announceView();
    });
    this.#readerSelector = new StoreReaderSelector(
      { instanceId: ownAddress, region: settings.region },
      () => this.#roster.listInstances(),
    );
    this.#loadExchange = new LoadExchange({
      fleetLoads: this.#fleetLoads,
      selector: this.#readerSelector,
      datagrams: this.#peerDatagrams,
      queryView,
      ownId: ownAddress,
      decide: (question) => this.#decidePlacement(question),
      describeOwn: () => loadTracker.describeOwn(),
      isOn: () => this.#sharesLoads,
    });
    this.#readerProvider = new PeerStoreReaderProvider({
      selector: this.#readerSelector,
      peers: this.#peers,
      poller: this.#viewPoller,
      logger,
    });
    this.#membership = createMembership({
      ownAddress,
      settings,
      activeConfig: this.#activeConfig,
      evacuatedZones: this.#evacuatedZones,
      rateLimits: this.#rateLimits,
      sightings: this.#sightings,
      directory: this.#directory,
      roster: this.#roster,
      peers: this.#peers,
      peerDatagrams: this.#peerDatagrams,
      loadTracker,
      store: this.#store,
      quarantine,
      partEvidence: partQuarantine,
      logger,
    });
    const origins = new StreamOrigins();
    this.#originExchange = new StreamOriginExchange({
      ownId: ownAddress,
      origins,
      listPeerIds: () =>
        this.#roster.listInstances().map(({ instanceId }) => instanceId),
      datagrams: this.#peerDatagrams,
    });
    const unseenChanges = new UnseenRunnerChanges(
      this.#store,
      this.#watchCache,
      () => this.#computeCheckIntervalMs(),
    );
    const takeUps = new StreamTakeUps({
      origins,
      exchange: this.#originExchange,
      sightings: this.#sightings,
      onlyVersions: new OnlyVersions(this.#sightings, unseenChanges),
      metrics: this.#metrics,
      logger,
    });
    this.#directory.events.on("changed", () => {
      takeUps.tellActive();
    });
    const crashDetector = new CrashDetector({
      directory: this.#directory,
      quarantine,
      partEvidence,
      onLoss: (fingerprint) => {
        this.#membership.reportSuspicion(fingerprint);
      },
      logger,
    });
    const { availabilityZone, region } = settings;
    const pauses = new RunnerPauses();
    const rules = new PlacementRules({
      evacuatedZones: this.#evacuatedZones,
      coldRunners,
      coldLimiter: new ColdRunnerLimiter(() => this.#countFleet()),
      coldLimit: settings.coldLimit,
      metrics: this.#metrics,
    });
    this.#permits = new RatePermits({
      own: { instanceId: ownAddress, region },
      limits: this.#rateLimits,
      listPeers: () => this.#roster.listInstances(),
      isFleetKnown: () => this.#roster.isSizeKnown,
      datagrams: this.#peerDatagrams,
      metrics: this.#metrics,
    });
    const scheduler = new PlacementScheduler({
      directory: this.#directory,
      pauses,
      permits: this.#permits,
      rules,
      loadTracker,
      outliers,
      location: { availabilityZone, region },
      countInstances: () => this.#roster.peakInstanceCount,
      loadExchange: this.#loadExchange,
    });
    this.#scheduler = scheduler;
    this.#retryBudget = new FleetRetryBudget(
      settings.retry,
      () => this.#countFleet(),
      settings,
    );
    const retries = new RetryBooker(this.#retryBudget, logger);
    const migrator = new RunMigrator({
      control,
      scheduler,
      directory: this.#directory,
      retries,
      metrics: this.#metrics,
      logger,
    });
    this.#configHealth = new StoreReadHealth("configuration", { logger });
    this.#runnersHealth = new StoreReadHealth("runners", {
      logger,
      onRecovered: () => {
        this.#directory.startReregistrationGrace();
      },
    });
    this.#leavePoller = new LeavePoller({
      control,
      directory: this.#directory,
      listSources: () => migrator.listSources(),
      isPaused: (runner) => pauses.isPaused(runner),
      isListFresh: () =>
        this.#configHealth.isHealthy && this.#runnersHealth.isHealthy,
      logger,
    });
    const exitAtMs = () => this.#plannedStop.exitAtMs;
    const relay = new RequestRelay({
      codec,
      pool: this.#pool,
      scheduler,
      migrator,
      rules,
      permits: this.#permits,
      notices: new RunnerNotices({
        directory: this.#directory,
        pauses,
        coldRunners,
        rateLimits: this.#rateLimits,
        control,
        pool: this.#pool,
        metrics: this.#metrics,
        logger,
      }),
      directory: this.#directory,
      outliers,
      retries,
      quarantine,
      partQuarantine,
      partEvidence,
      takeUps,
      control,
      endChecker: new EndChecker(
        new ProcessChecker({
          control,
          directory: this.#directory,
          unseenChanges,
        }),
        logger,
      ),
      checkForCrash: (runner, request) => {
        crashDetector.checkForCrash(runner, request);
      },
      exitAtMs,
      metrics: this.#metrics,
      logger,
    });
    this.#relay = relay;
    this.#callerServer = new CallerServer({
      codec,
      activeConfig: this.#activeConfig,
      relay,
      quarantine,
      partQuarantine,
      maxKeyConfigAgeMs: settings.maxKeyConfigAgeMs,
      exitAtMs,
      limits,
      metrics: this.#metrics,
      logger,
    });
  }

  /** True when the load balancer may send requests to this instance. */
  get isReady(): boolean {
    const { maxKeyConfigAgeMs: maxAgeMs = Number.POSITIVE_INFINITY } =
      this.#settings;
    return (
      this.#plannedStop.exitAtMs === undefined &&
      this.#activeConfig.version > 0 &&
      this.#activeConfig.isSettled &&
      this.#directory.size > 0 &&
      this.#activeConfig.confirmedAgeMs <= maxAgeMs
    );
  }

  /** Listens on all addresses and starts to sync from the store. */
  async start(): Promise<void> {
    const { settings, signal } = {
      settings: this.#settings,
      signal: this.#stopping.signal,
    };
    const syncDependencies = {
      store: this.#store,
      readerProvider: this.#readerProvider,
      signal,
    };
    this.#eventLoopMeter.start();
    void syncConfig({
      ...syncDependencies,
      activeConfig: this.#activeConfig,
      health: this.#configHealth,
    });
    void syncRunners({
      ...syncDependencies,
      directory: this.#directory,
      watchCache: this.#watchCache,
      health: this.#runnersHealth,
    });
    void this.#leavePoller.run(signal);
    const { readiness, metrics } = settings;
    this.#servers.push(
      await serveText(readiness, (path) => ({
        statusCode: path === readiness.path && this.isReady ? 200 : 503,
        text: this.isReady ? "ready\n" : "not ready\n",
      })),
    );
    if (metrics) {
      this.#servers.push(
        await serveText(metrics, (path) => {
          const [name, query] = path.split("?", 2);
          if (name === EXPLAIN_PATH) {
            return explainRequest(new URLSearchParams(query), {
              activeConfig: this.#activeConfig,
              scheduler: this.#scheduler,
            });
          }
          const isMetrics = path === metrics.path;
          return {
            statusCode: isMetrics ? 200 : 404,
            text: isMetrics ? this.#metricsText() : "",
          };
        }),
      );
    }
    this.#servers.push(
      await servePeers(
        {
          gossip: ({ digest }) =>
            digest ? { digest: this.#membership.handleDigest(digest) } : {},
          ...createViewHandlers({
            activeConfig: this.#activeConfig,
            configHealth: this.#configHealth,
            watchCache: this.#watchCache,
            runnersHealth: this.#runnersHealth,
          }),
          fetchDocument: ({ leastRevision }) => {
            const { version, text } = this.#activeConfig;
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
    await this.#peerDatagrams.listen(settings.peers, {
      digest: (digest) => this.#membership.handleDigest(digest),
      viewQuery: (from, { loads }) => {
        this.#viewFollowers.record(from);
        return this.#answerQuery(toAddress(from), loads);
      },
      placementQuery: (query) =>
        this.#sharesLoads ? this.#decidePlacement(query) : true,
      streamOrigins: ({ origins }) => {
        this.#originExchange.record(origins);
      },
      streamOriginQuery: ({ requestId }) =>
        this.#originExchange.answer(requestId),
      permitQuery: (query) => this.#permits.answer(query),
      loads: (from, loads) => {
        this.#loadExchange.handleReport(toAddress(from), loads);
      },
      viewAnnouncement: (from) => {
        this.#viewPoller.handleAnnouncement(from);
      },
    });
    void this.#membership.run(signal);
    await this.#callerServer.listen(settings.callers);
    void this.#runHousekeeping(signal);
    void this.#loadExchange.run(signal);
    this.#logger.info("started", {
      program: programDigest,
      runtime: `node-${process.version} ${process.platform}-${process.arch}`,
      instance: settings.instanceName,
      zone: settings.availabilityZone,
      caller_port: settings.callers.port,
      peer_port: settings.peers.port,
    });
  }

  /**
   * Fails the readiness check, drains requests in progress, and closes;
   * resolves before the platform would kill the process. Later calls join the
   * first one.
   */
  async stop(): Promise<void> {
    await this.#plannedStop.drain(this.#callerServer, {
      earliestSignalAtMs: this.#eventLoopMeter.earliestSignalAtMs,
      onStart: () => {
        this.#relay.dismissWaiting();
        void this.#membership.leave();
      },
    });
    this.close();
  }

  /** Closes at once and aborts requests in progress. */
  close(): void {
    this.#stopping.abort();
    this.#eventLoopMeter.stop();
    this.#callerServer.close();
    this.#pool.closeAll();
    this.#peers.close();
    this.#peerDatagrams.close();
    for (const server of this.#servers) server.close();
  }

  // Undefined while the size of the fleet is not known.
  #countFleet(): number | undefined {
    return this.#roster.isSizeKnown
      ? Math.max(MIN_FLEET_SIZE, this.#roster.peakInstanceCount)
      : undefined;
  }

  async #readSoftwareHistory(): Promise<void> {
    if (this.#isReadingHistory) return;
    this.#isReadingHistory = true;
    try {
      await readSoftwareHistory({
        store: this.#store,
        directory: this.#directory,
        watchCache: this.#watchCache,
        sightings: this.#sightings,
        isReader: () => this.#readerProvider.find() === undefined,
        historyMs: this.#settings.storeHistoryMs ?? DEFAULT_HISTORY_MS,
        logger: this.#logger,
        signal: this.#stopping.signal,
      });
    } finally {
      this.#isReadingHistory = false;
    }
  }

  #computeCheckIntervalMs(): number {
    return computeCheckIntervalMs({
      instanceCount: Math.max(MIN_FLEET_SIZE, this.#roster.peakInstanceCount),
      readsPerSecond: this.#settings.storeReadsPerSecond,
    });
  }

  #readView(): ViewState {
    return readViewState({
      evacuatedZones: this.#evacuatedZones,
      activeConfig: this.#activeConfig,
      configHealth: this.#configHealth,
      watchCache: this.#watchCache,
      runnersHealth: this.#runnersHealth,
    });
  }

  #answerQuery(followerId: string, loads: LoadTable | undefined): ViewState {
    const view = this.#readView();
    const table = decodeLoadTable(loads);
    if (!table) return view;
    this.#fleetLoads.recordFollower(followerId, table);
    const others = this.#fleetLoads.describeOthers(followerId);
    view.otherLoads = create(LoadTableSchema, encodeLoadTable(others));
    return view;
  }

  // A runner or service that is not known here is not held up.
  #decidePlacement(question: PlacementQuestion): boolean {
    const runner = this.#directory.find(question.runnerId);
    const service = runner && this.#activeConfig.findService(runner.serviceId);
    if (!runner || !service) return true;
    return this.#scheduler.grant(runner, service, question);
  }

  // In a small fleet gossip reaches all instances. Beyond what a table holds, the
  // runners that are left out would look empty.
  get #sharesLoads(): boolean {
    return (
      this.#roster.peakInstanceCount > SMALL_FLEET_MAX_INSTANCES &&
      this.#directory.size <= MAX_TABLE_RUNNERS
    );
  }

  #announceView(): void {
    const followers = this.#viewFollowers.list();
    if (followers.length === 0) return;
    const view = this.#readView();
    for (const peer of followers) this.#peerDatagrams.announceView(peer, view);
  }

  async #runHousekeeping(signal: AbortSignal): Promise<void> {
    let wasReady: boolean | undefined;
    while (!signal.aborted) {
      this.#pool.closeIdle();
      this.#callerServer.evictConnections();
      const { isReady } = this;
      if (isReady !== wasReady) {
        this.#logger.info("readiness", {
          is_ready: isReady,
          config_version: this.#activeConfig.version,
          config_age_ms: this.#activeConfig.confirmedAgeMs,
          runners: this.#directory.size,
        });
        wasReady = isReady;
      }
      await sleep(HOUSEKEEPING_INTERVAL_MS, signal);
    }
  }

  #metricsText(): string {
    const gauges = [
      `jujubeladder_program_info{digest="${programDigest}"} 1`,
      `jujubeladder_active_requests ${this.#callerServer.activeCount}`,
      `jujubeladder_event_loop_max_delay_ms ${Math.round(this.#eventLoopMeter.maxDelayMs)}`,
      `jujubeladder_config_version ${this.#activeConfig.version}`,
      `jujubeladder_config_age_ms ${this.#activeConfig.confirmedAgeMs}`,
      `jujubeladder_runners ${this.#directory.size}`,
      `jujubeladder_store_era ${this.#store.era}`,
      `jujubeladder_evacuated_zones ${this.#evacuatedZones.size}`,
      `jujubeladder_rate_limited_runners ${this.#rateLimits.size}`,
      `jujubeladder_quarantined_requests ${this.#quarantine.countQuarantined()}`,
      `jujubeladder_log_lines_dropped_total ${this.#droppedLogLines()}`,
      `jujubeladder_fleet_loads_known ${Number(this.#fleetLoads.isCurrent)}`,
      ...this.#callerServer.describeLoad(),
      ...formatRetryBudget(this.#retryBudget),
    ];
    return `${this.#metrics.toPrometheusText()}${gauges.join("\n")}\n`;
  }
}

function toAddress({ host, port }: DatagramEndpoint): string {
  return `${host}:${port}`;
}
