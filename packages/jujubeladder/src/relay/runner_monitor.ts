import type { LeavingRunners } from "@jujubeladder/coordination";
import { RunnerHealth, type OrderReconciler } from "@jujubeladder/coordination";
import type { Logger } from "@jujubeladder/logger";
import type { PrefixView } from "@jujubeladder/scheduling";
import type { InstanceListView } from "@jujubeladder/configuration";
import type { Result, Runner, RunnerLoad } from "@jujubeladder/types";
import { EngineClient, PlainServiceClient } from "@jujubeladder/upstream";
import { monotonicMs, sleep } from "@jujubeladder/utils";

const SYNC_INTERVAL_MS = 100;
const LEAVE_QUERY_TIMEOUT_MS = 1_000;

interface LoadReport {
  readonly load: RunnerLoad;
  readonly readAtMs: number;
}

/**
 * Polls the load of runners and tracks which may take new work. A runner is
 * excluded as soon as any source says that it is leaving: the instance list,
 * the runner itself or a peer; also while it drains so that an order can be
 * applied.
 */
export class RunnerMonitor {
  readonly health = new RunnerHealth();
  readonly #listView: InstanceListView;
  readonly #leaving: LeavingRunners;
  readonly #logger: Logger;
  readonly #maxListAgeMs: number;
  readonly #loadIntervalMs: number;
  readonly #onLoad: (runner: Runner, load: RunnerLoad) => void;
  readonly #onLeaving: () => void;
  readonly #findPrefixes: (runner: Runner) => PrefixView | undefined;
  readonly #loads = new Map<string, LoadReport>();
  readonly #polls = new Map<string, AbortController>();
  #orderReconciler: OrderReconciler | undefined;

  constructor(options: {
    readonly listView: InstanceListView;
    readonly leaving: LeavingRunners;
    readonly logger: Logger;
    readonly maxListAgeMs: number;
    readonly loadIntervalMs: number;
    readonly onLoad: (runner: Runner, load: RunnerLoad) => void;
    readonly onLeaving: () => void;
    readonly findPrefixes: (runner: Runner) => PrefixView | undefined;
  }) {
    this.#findPrefixes = options.findPrefixes;
    this.#listView = options.listView;
    this.#leaving = options.leaving;
    this.#logger = options.logger;
    this.#maxListAgeMs = options.maxListAgeMs;
    this.#loadIntervalMs = options.loadIntervalMs;
    this.#onLoad = options.onLoad;
    this.#onLeaving = options.onLeaving;
  }

  setOrderReconciler(orderReconciler: OrderReconciler): void {
    this.#orderReconciler = orderReconciler;
  }

  /** Runners of a service that may take new work. */
  listUsable(serviceId: string): readonly Runner[] {
    const runners = this.#listView
      .listRunners(serviceId)
      .filter((runner) => this.#mayTakeWork(runner));
    return this.health.filterUsable(runners);
  }

  lastLoad(runnerId: string): RunnerLoad | undefined {
    return this.#loads.get(runnerId)?.load;
  }

  /** Milliseconds since the last load report; infinite without one. */
  loadAgeMs(runnerId: string): number {
    const readAtMs = this.#loads.get(runnerId)?.readAtMs;
    return readAtMs === undefined ? Infinity : monotonicMs() - readAtMs;
  }

  async readLoad(runnerId: string): Promise<Result<RunnerLoad, string>> {
    const runner = this.#listView.findRunner(runnerId);
    if (!runner) return { ok: false, error: "the runner is not listed" };
    const response = await new EngineClient(runner).readLoad();
    if (response.ok) this.#recordLoad(runner, response.value);
    return response;
  }

  /**
   * Checks right before work is sent that the runner is not leaving. Queries
   * the runner if both the instance list and its last load report are older
   * than `maxListAgeMs`, for example after the process was suspended.
   */
  async confirmAvailable(
    runner: Runner,
    type: "engine" | "plain",
  ): Promise<Result<undefined, string>> {
    if (!this.#isListed(runner)) {
      return { ok: false, error: "the runner is leaving" };
    }
    const ageMs = Math.min(
      this.#listView.ageMs,
      this.loadAgeMs(runner.runnerId),
    );
    if (ageMs <= this.#maxListAgeMs) return { ok: true, value: undefined };
    const isLeaving = await this.#queryIsLeaving(runner, type);
    if (isLeaving === undefined) {
      return { ok: false, error: "the runner did not say whether it leaves" };
    }
    if (!isLeaving) return { ok: true, value: undefined };
    this.markLeaving(runner.runnerId, "runner");
    return { ok: false, error: "the runner is leaving" };
  }

  markLeaving(runnerId: string, source: string): void {
    if (!this.#leaving.add(runnerId)) return;
    this.#logger.info("runner_leaving", { runner: runnerId, source });
    this.#onLeaving();
  }

  /** Polls the load of all listed engines until the signal aborts. */
  async run(
    listEngineServiceIds: () => readonly string[],
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted) {
      this.#markListedLeaving();
      this.#syncPolls(listEngineServiceIds());
      await sleep(SYNC_INTERVAL_MS, signal);
    }
    for (const poll of this.#polls.values()) poll.abort();
  }

  #mayTakeWork(runner: Runner): boolean {
    return (
      this.#isListed(runner) &&
      !(this.#orderReconciler?.isDraining(runner.runnerId) ?? false)
    );
  }

  #isListed(runner: Runner): boolean {
    const listed = this.#listView.findRunner(runner.runnerId);
    return listed?.state === "live" && !this.#leaving.has(runner.runnerId);
  }

  async #queryIsLeaving(
    runner: Runner,
    type: "engine" | "plain",
  ): Promise<boolean | undefined> {
    switch (type) {
      case "plain":
        return await new PlainServiceClient(runner).readIsLeaving(
          LEAVE_QUERY_TIMEOUT_MS,
        );
      case "engine": {
        const load = await this.readLoad(runner.runnerId);
        return load.ok ? load.value.isLeaving : undefined;
      }
    }
  }

  // Also notifies peers, whose list may be older.
  #markListedLeaving(): void {
    for (const { runnerId, state } of this.#listView.list.runners) {
      if (state === "leaving") this.markLeaving(runnerId, "list");
    }
  }

  #syncPolls(serviceIds: readonly string[]): void {
    const runners = serviceIds.flatMap((id) => this.#listView.listRunners(id));
    const listedIds = new Set(runners.map((runner) => runner.runnerId));
    for (const [runnerId, poll] of this.#polls) {
      if (listedIds.has(runnerId)) continue;
      poll.abort();
      this.#polls.delete(runnerId);
      this.#loads.delete(runnerId);
    }
    for (const { runnerId } of runners) {
      if (this.#polls.has(runnerId)) continue;
      const poll = new AbortController();
      this.#polls.set(runnerId, poll);
      void this.#poll(runnerId, poll.signal);
    }
  }

  async #poll(runnerId: string, signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const response = await this.readLoad(runnerId);
      if (response.ok) this.health.recordSuccess(runnerId);
      else if (!signal.aborted && this.health.recordFailure(runnerId)) {
        const reason = response.error;
        this.#logger.warn("runner_ejected", { runner: runnerId, reason });
      }
      if (response.ok) await this.#readPrefixes(runnerId);
      const jitter = 0.75 + Math.random() / 2;
      await sleep(this.#loadIntervalMs * jitter, signal);
    }
  }

  async #readPrefixes(runnerId: string): Promise<void> {
    const runner = this.#listView.findRunner(runnerId);
    const prefixes = runner && this.#findPrefixes(runner);
    if (!prefixes) return;
    const client = new EngineClient(runner);
    const response = await client.readCacheEvents(prefixes.lastSequence);
    if (!response.ok) return;
    prefixes.apply(response.value.events, response.value.lastSequence);
  }

  #recordLoad(runner: Runner, load: RunnerLoad): void {
    if (load.runnerId !== runner.runnerId) return;
    this.#loads.set(runner.runnerId, { load, readAtMs: monotonicMs() });
    if (load.isLeaving) this.markLeaving(runner.runnerId, "runner");
    this.#onLoad(runner, load);
  }
}
