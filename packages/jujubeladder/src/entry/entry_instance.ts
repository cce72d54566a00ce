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
import type { PlacementDecision } from "@jujubeladder/scheduling";
import type { SubmissionResult, Ticket } from "@jujubeladder/types";
import { SealBox, sleep } from "@jujubeladder/utils";
import { createAdminApp } from "../http/create_admin_app.js";
import { createCallerApp } from "../http/create_caller_app.js";
import { Metrics } from "@jujubeladder/metrics";
import { GenerationRelay } from "../relay/generation_relay.js";
import { PlainRelay } from "../relay/plain_relay.js";
import { RunnerAccess } from "../relay/runner_access.js";
import type { EntrySettings } from "../settings/entry_settings.js";
import { createOrderKeeper } from "./create_order_keeper.js";
import { describeStatus } from "./describe_status.js";
import { EntryCoordination } from "./entry_coordination.js";
import { EntryScheduling } from "./entry_scheduling.js";
import { EntryViews } from "./entry_views.js";
import { explainPlacement } from "./explain_placement.js";
import { serve } from "./serve.js";

const HANDLE_PURPOSE = "stream handle";
const READY_POLL_MS = 50;
const DRAIN_POLL_MS = 50;
const LINGER_MS = 1_000;

/** One entry instance: wires the parts, starts and stops them. */
export class EntryInstance {
  readonly #settings: EntrySettings;
  readonly #logger: Logger;
  readonly #views: EntryViews;
  readonly #metrics = new Metrics();
  readonly #platform: PlatformClient;
  readonly #scheduling: EntryScheduling;
  readonly #coordination: EntryCoordination;
  readonly #access: RunnerAccess;
  readonly #orders: OrderReconciler;
  readonly #plainRelay: PlainRelay;
  readonly #relay: GenerationRelay;
  readonly #handleBox: SealBox;
  readonly #stopping = new AbortController();
  #callerServer: Server | undefined;
  #adminServer: Server | undefined;
  #peerServer: Http2Server | undefined;
  #isReady = false;
  #activeRequests = 0;

  constructor(settings: EntrySettings) {
    this.#settings = settings;
    this.#logger = new Logger({ instance: settings.instanceId });
    this.#views = new EntryViews(settings, this.#logger);
    this.#handleBox = new SealBox(settings.sealKeys, HANDLE_PURPOSE);
    this.#platform = new PlatformClient({
      baseUrl: settings.platformUrl,
      waitMs: settings.platformWaitMs,
    });
    this.#access = this.#createAccess();
    this.#scheduling = new EntryScheduling({
      region: settings.region,
      objective: () => this.#views.config.document?.objective,
      listUsable: (serviceId) => this.#access.listUsable(serviceId),
      instanceId: settings.instanceId,
      listInstanceIds: () => this.#listLiveInstanceIds(),
    });
    this.#plainRelay = new PlainRelay({
      region: settings.region,
      access: this.#access,
      budgetOf: (serviceId) => this.#scheduling.budgetOf(serviceId),
      metrics: this.#metrics,
      logger: this.#logger,
    });
    this.#coordination = new EntryCoordination(settings, this.#views, {
      logger: this.#logger,
      dispatch: async (ticket, body) => this.#dispatch(ticket, body),
    });
    this.#orders = createOrderKeeper({
      views: this.#views,
      membership: this.#coordination.membership,
      access: this.#access,
      logger: this.#logger,
    });
    this.#access.setOrders(this.#orders);
    this.#relay = this.#createRelay();
  }

  /** Listens, and resolves once the instance is ready for callers. */
  async start(): Promise<void> {
    const { host, callerPort, adminPort, peerPort } = this.#settings;
    const app = createCallerApp({
      configView: this.#views.config,
      listView: this.#views.list,
      relay: this.#relay,
      plainRelay: this.#plainRelay,
      tickets: this.#coordination.tickets,
      handleBox: this.#handleBox,
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
    this.#peerServer = await servePeers(this.#coordination.service, {
      host,
      port: peerPort,
    });
    this.#runTasks();
    await this.#waitUntilInformed();
    this.#callerServer = await serve(
      (req, res) => {
        this.#activeRequests += 1;
        res.on("close", () => {
          this.#activeRequests -= 1;
        });
        app(req, res);
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

  /** Finishes all work, hands over what is left, and stops. */
  async stop(): Promise<void> {
    this.#isReady = false;
    this.#logger.info("leaving");
    await this.#coordination.membership.leave();
    await sleep(this.#settings.acceptWhileLeavingMs);
    this.#callerServer?.close();
    while (this.#activeRequests > 0) await sleep(DRAIN_POLL_MS);
    while (this.#coordination.owner.activeRuns.length > 0) {
      await sleep(DRAIN_POLL_MS);
    }
    await this.#coordination.handover.run();
    await sleep(LINGER_MS);
    this.#stopping.abort();
    this.#callerServer?.closeAllConnections();
    this.#adminServer?.close();
    this.#adminServer?.closeAllConnections();
    this.#peerServer?.close();
    this.#coordination.directory.close();
    await this.#platform.close();
    this.#logger.info("stopped");
  }

  #createAccess(): RunnerAccess {
    return new RunnerAccess({
      listView: this.#views.list,
      leaving: this.#views.leavingRunners,
      logger: this.#logger,
      maxListAgeMs: this.#settings.maxListAgeMs,
      loadIntervalMs: this.#settings.loadIntervalMs,
      onLoad: (runner, load) => {
        this.#scheduling.schedulerOf(runner.serviceId).updateLoad(load);
      },
      findPrefixes: (runner) =>
        this.#scheduling
          .schedulerOf(runner.serviceId)
          .findRunnerState(runner.runnerId)?.prefixes,
      onLeaving: () => {
        void this.#coordination.membership.pushToAll();
      },
    });
  }

  #createRelay(): GenerationRelay {
    return new GenerationRelay({
      instanceId: this.#settings.instanceId,
      access: this.#access,
      findRunner: (runnerId) => this.#views.list.findRunner(runnerId),
      listInstanceIds: () =>
        this.#views.list.list.instances.map((entry) => entry.instanceId),
      schedulerOf: (serviceId) => this.#scheduling.schedulerOf(serviceId),
      budgetOf: (serviceId) => this.#scheduling.budgetOf(serviceId),
      quarantine: this.#views.quarantine,
      membership: this.#coordination.membership,
      sealBox: this.#handleBox,
      fingerprintSecret: this.#settings.sealKeys.at(-1) ?? "",
      metrics: this.#metrics,
      logger: this.#logger,
    });
  }

  #runTasks(): void {
    const { signal } = this.#stopping;
    const options = { logger: this.#logger, signal };
    const { config, list } = this.#views;
    void watchConfig(this.#platform, config, options);
    void watchInstances(this.#platform, list, options);
    void this.#coordination.membership.run(signal);
    void this.#scheduling.run(signal);
    void this.#orders.run(signal);
    void this.#access.run(() => this.#listEngineServiceIds(), signal);
  }

  // A fresh instance may stand before a stale service, so that it asks its
  // peers once before it takes callers.
  async #waitUntilInformed(): Promise<void> {
    const { config, list } = this.#views;
    while (list.list.version === 0) await sleep(READY_POLL_MS);
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
    return this.#views.list.list.instances
      .filter((instance) => instance.state === "live")
      .map((instance) => instance.instanceId);
  }

  #listEngineServiceIds(): readonly string[] {
    const services = this.#views.config.document?.services ?? [];
    return services
      .filter((service) => service.type === "engine")
      .map((service) => service.serviceId);
  }

  #explain(
    query: Readonly<Record<string, unknown>>,
  ): PlacementDecision | { readonly type: "unknown_service" } {
    const { document } = this.#views.config;
    return explainPlacement(query, document, (serviceId) =>
      this.#scheduling.schedulerOf(serviceId),
    );
  }

  #describeStatus(): Readonly<Record<string, unknown>> {
    return describeStatus({
      views: this.#views,
      coordination: this.#coordination,
      access: this.#access,
      isReady: this.#isReady,
      activeRequests: this.#activeRequests,
    });
  }
}
