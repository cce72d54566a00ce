import type { Server } from "node:http";
import type { Http2Server } from "node:http2";
import {
  servePeers,
  type OrderReconciler,
  type SubmissionBody,
} from "@jujubeladder/coordination";
import { Logger } from "@jujubeladder/logger";
import {
  PlatformClient,
  resolveSettings,
  watchConfig,
  watchInstances,
} from "@jujubeladder/configuration";
import type { SubmissionResult, Ticket } from "@jujubeladder/types";
import { SealBox, sleep } from "@jujubeladder/utils";
import { createAdminApp } from "../http/create_admin_app.js";
import { createCallerApp } from "../http/create_caller_app.js";
import { Metrics } from "@jujubeladder/metrics";
import { GenerationRelay } from "../relay/generation_relay.js";
import { PlainRelay } from "../relay/plain_relay.js";
import { RunnerMonitor } from "../relay/runner_monitor.js";
import type { EntrySettings } from "../settings/entry_settings.js";
import { ActiveResponses } from "./active_responses.js";
import { createOrderReconciler } from "./create_order_reconciler.js";
import { describeStatus } from "./describe_status.js";
import { EntryCoordination } from "./entry_coordination.js";
import { EntryScheduling } from "./entry_scheduling.js";
import { EntryViews } from "./entry_views.js";
import { explainPlacement } from "./explain_placement.js";
import type { Explanation } from "./explanation.js";
import { serve } from "./serve.js";
import { stopListening } from "./stop_listening.js";

const HANDLE_PURPOSE = "stream handle";
const READY_POLL_MS = 50;
const DRAIN_POLL_MS = 50;
// How long peers can still reach this instance after the handoff.
const SHUTDOWN_LINGER_MS = 1_000;

/** One entry instance: creates, starts and stops its components. */
export class EntryInstance {
  readonly #settings: EntrySettings;
  readonly #logger: Logger;
  readonly #views: EntryViews;
  readonly #metrics = new Metrics();
  readonly #platform: PlatformClient;
  readonly #scheduling: EntryScheduling;
  readonly #coordination: EntryCoordination;
  readonly #monitor: RunnerMonitor;
  readonly #orderReconciler: OrderReconciler;
  readonly #plainRelay: PlainRelay;
  readonly #generationRelay: GenerationRelay;
  readonly #handleSealBox: SealBox;
  readonly #stopController = new AbortController();
  #callerServer: Server | undefined;
  #adminServer: Server | undefined;
  #peerServer: Http2Server | undefined;
  #isReady = false;
  readonly #responses = new ActiveResponses();

  constructor(settings: EntrySettings) {
    this.#settings = settings;
    this.#logger = new Logger({ instance: settings.instanceId });
    this.#views = new EntryViews(settings, this.#logger);
    this.#handleSealBox = new SealBox(settings.sealKeys, HANDLE_PURPOSE);
    this.#platform = new PlatformClient({
      baseUrl: settings.platformUrl,
      waitMs: settings.platformWaitMs,
    });
    this.#monitor = this.#createMonitor();
    this.#scheduling = new EntryScheduling({
      region: settings.region,
      objective: () => this.#views.config.document?.objective,
      listUsable: (serviceId) => this.#monitor.listUsable(serviceId),
      instanceId: settings.instanceId,
      listInstanceIds: () => this.#listLiveInstanceIds(),
    });
    this.#plainRelay = new PlainRelay({
      region: settings.region,
      monitor: this.#monitor,
      getRetryBudget: (serviceId) => this.#scheduling.getRetryBudget(serviceId),
      metrics: this.#metrics,
      logger: this.#logger,
    });
    this.#coordination = new EntryCoordination(settings, this.#views, {
      logger: this.#logger,
      dispatch: async (ticket, body) => this.#dispatch(ticket, body),
    });
    this.#orderReconciler = createOrderReconciler({
      views: this.#views,
      membership: this.#coordination.membership,
      monitor: this.#monitor,
      logger: this.#logger,
    });
    this.#monitor.setOrderReconciler(this.#orderReconciler);
    this.#generationRelay = this.#createGenerationRelay();
  }

  /** Starts listening; resolves once the instance is ready for callers. */
  async start(): Promise<void> {
    const { host, callerPort, adminPort, peerPort } = this.#settings;
    const app = createCallerApp({
      configView: this.#views.config,
      listView: this.#views.instanceList,
      generationRelay: this.#generationRelay,
      plainRelay: this.#plainRelay,
      tickets: this.#coordination.tickets,
      handleSealBox: this.#handleSealBox,
      metrics: this.#metrics,
      logger: this.#logger,
    });
    const admin = createAdminApp({
      metrics: this.#metrics,
      isReady: () => this.#isReady,
      describeStatus: () => this.#describeStatus(),
      explain: (query) => this.#explain(query),
    });
    this.#adminServer = await serve(admin, { host, port: adminPort });
    this.#peerServer = await servePeers(this.#coordination.peerService, {
      host,
      port: peerPort,
    });
    this.#startBackgroundTasks();
    await this.#waitForInitialState();
    this.#callerServer = await serve(
      (req, res) => {
        void this.#responses.add(res).then((canBeSent) => {
          if (canBeSent) app(req, res);
        });
      },
      { host, port: callerPort },
    );
    this.#isReady = true;
    this.#logger.info("ready", {
      caller_port: callerPort,
      admin_port: adminPort,
      peer_port: peerPort,
      incarnation: this.#views.identity.incarnation,
    });
  }

  /** Drains requests, hands the tickets off to a successor, and stops. */
  async stop(): Promise<void> {
    this.#isReady = false;
    this.#logger.info("leaving", { active: this.#responses.count });
    this.#responses.leave();
    await this.#coordination.membership.leave();
    await sleep(this.#settings.acceptWhileLeavingMs);
    if (this.#callerServer) stopListening(this.#callerServer);
    await this.#drainRequests();
    while (this.#coordination.owner.activeRuns.length > 0) {
      await sleep(DRAIN_POLL_MS);
    }
    await this.#coordination.handoff.run();
    await sleep(SHUTDOWN_LINGER_MS);
    // Callers may still have sent requests on connections that they keep.
    await this.#drainRequests();
    this.#stopController.abort();
    this.#callerServer?.closeAllConnections();
    this.#adminServer?.close();
    this.#adminServer?.closeAllConnections();
    this.#peerServer?.close();
    this.#coordination.directory.close();
    this.#platform.close();
    this.#logger.info("stopped");
  }

  async #drainRequests(): Promise<void> {
    while (this.#responses.count > 0) await sleep(DRAIN_POLL_MS);
  }

  #createMonitor(): RunnerMonitor {
    return new RunnerMonitor({
      listView: this.#views.instanceList,
      leaving: this.#views.leavingRunners,
      logger: this.#logger,
      maxListAgeMs: this.#settings.maxListAgeMs,
      loadIntervalMs: this.#settings.loadIntervalMs,
      onLoad: (runner, load) => {
        this.#scheduling.getScheduler(runner.serviceId).updateLoad(load);
      },
      findPrefixes: (runner) =>
        this.#scheduling
          .getScheduler(runner.serviceId)
          .findRunnerState(runner.runnerId)?.prefixes,
      onLeaving: () => {
        void this.#coordination.membership.pushToAll();
      },
    });
  }

  #createGenerationRelay(): GenerationRelay {
    return new GenerationRelay({
      instanceId: this.#settings.instanceId,
      monitor: this.#monitor,
      findRunner: (runnerId) => this.#views.instanceList.findRunner(runnerId),
      listInstanceIds: () =>
        this.#views.instanceList.list.instances.map(
          (entry) => entry.instanceId,
        ),
      getScheduler: (serviceId) => this.#scheduling.getScheduler(serviceId),
      getRetryBudget: (serviceId) => this.#scheduling.getRetryBudget(serviceId),
      quarantine: this.#views.quarantine,
      membership: this.#coordination.membership,
      sealBox: this.#handleSealBox,
      fingerprintSecret: this.#settings.sealKeys.at(-1) ?? "",
      metrics: this.#metrics,
      logger: this.#logger,
    });
  }

  #startBackgroundTasks(): void {
    const { signal } = this.#stopController;
    const options = { logger: this.#logger, signal };
    const { config, instanceList } = this.#views;
    void watchConfig(this.#platform, config, options);
    void watchInstances(this.#platform, instanceList, options);
    void this.#coordination.membership.run(signal);
    void this.#scheduling.run(signal);
    void this.#orderReconciler.run(signal);
    void this.#monitor.run(() => this.#listEngineServiceIds(), signal);
  }

  // The platform may serve a stale configuration to a new instance. Therefore
  // the instance exchanges state with its peers once before it accepts callers.
  async #waitForInitialState(): Promise<void> {
    const { config, instanceList } = this.#views;
    while (instanceList.list.version === 0) await sleep(READY_POLL_MS);
    await this.#coordination.membership.pushToAll();
    while (config.document === undefined) await sleep(READY_POLL_MS);
  }

  async #dispatch(
    ticket: Ticket,
    body: SubmissionBody,
  ): Promise<SubmissionResult> {
    const { document } = this.#views.config;
    if (!document) throw new Error("A ticket ran without a configuration");
    const { ticketId, serviceId, teamId, method, path } = ticket;
    return await this.#plainRelay.run(
      {
        requestId: ticketId,
        serviceId,
        teamId,
        method,
        path,
        contentType: body.contentType,
        body: body.bytes,
        isIdempotent: false,
      },
      resolveSettings(document, { serviceId, teamId }),
    );
  }

  #listLiveInstanceIds(): readonly string[] {
    return this.#views.instanceList.list.instances
      .filter((instance) => instance.state === "live")
      .map((instance) => instance.instanceId);
  }

  #listEngineServiceIds(): readonly string[] {
    const services = this.#views.config.document?.services ?? [];
    return services
      .filter((service) => service.type === "engine")
      .map((service) => service.serviceId);
  }

  #explain(query: Readonly<Record<string, unknown>>): Explanation {
    const { document } = this.#views.config;
    return explainPlacement(query, document, (serviceId) =>
      this.#scheduling.getScheduler(serviceId),
    );
  }

  #describeStatus(): Readonly<Record<string, unknown>> {
    return describeStatus({
      views: this.#views,
      coordination: this.#coordination,
      monitor: this.#monitor,
      isReady: this.#isReady,
      activeRequests: this.#responses.count,
    });
  }
}
