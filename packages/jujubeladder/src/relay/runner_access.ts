import type { LeavingRunners } from "@jujubeladder/coordination";
import { RunnerHealth, type OrderReconciler } from "@jujubeladder/coordination";
import type { Logger } from "@jujubeladder/logger";
import type { PrefixView } from "@jujubeladder/scheduling";
import type { InstanceListView } from "@jujubeladder/configuration";
import type { Result, Runner, RunnerLoad } from "@jujubeladder/types";
import { EngineClient, PlainServiceClient } from "@jujubeladder/upstream";
import { monotonicMs, sleep } from "@jujubeladder/utils";

const SYNC_INTERVAL_MS = 100;
const ASK_TIMEOUT_MS = 1_000;

interface KnownLoad {
  readonly load: RunnerLoad;
  readonly readAtMs: number;
}

/**
 * Which runners may take new work, by the earliest word of any source: the
 * instance list, the runner itself, peers, and orders that wait for it.
 */
export class RunnerAccess {
  readonly health = new RunnerHealth();
  readonly #listView: InstanceListView;
  readonly #leaving: LeavingRunners;
  readonly #logger: Logger;
  readonly #maxListAgeMs: number;
  readonly #loadIntervalMs: number;
  readonly #onLoad: (runner: Runner, load: RunnerLoad) => void;
  readonly #onLeaving: () => void;
  readonly #findPrefixes: (runner: Runner) => PrefixView | undefined;
  readonly #loads = new Map<string, KnownLoad>();
  readonly #polls = new Map<string, AbortController>();
  #orders: OrderReconciler | undefined;

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

  setOrders(orders: OrderReconciler): void {
    this.#orders = orders;
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
    const answer = await new EngineClient(runner).readLoad();
    if (answer.ok) this.#noteLoad(runner, answer.value);
    return answer;
  }

  /**
   * Called right before work is written to a runner. A process that has
   * slept, or whose list is old, asks the runner itself.
   */
  async confirm(
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
    const isLeaving = await this.#askIsLeaving(runner, type);
    if (isLeaving === undefined) {
      return { ok: false, error: "the runner did not say whether it leaves" };
    }
    if (!isLeaving) return { ok: true, value: undefined };
    this.noteLeaving(runner.runnerId, "runner");
    return { ok: false, error: "the runner is leaving" };
  }

  noteLeaving(runnerId: string, source: string): void {
    if (!this.#leaving.add(runnerId)) return;
    this.#logger.info("runner_leaving", { runner: runnerId, source });
    this.#onLeaving();
  }

  /** Reads load reports of all listed engines until the signal aborts. */
  async run(
    listEngineServiceIds: () => readonly string[],
    signal: AbortSignal,
  ): Promise<void> {
    while (!signal.aborted) {
      this.#noteListedLeaving();
      this.#syncPolls(listEngineServiceIds());
      await sleep(SYNC_INTERVAL_MS, signal);
    }
    for (const poll of this.#polls.values()) poll.abort();
  }

  #mayTakeWork(runner: Runner): boolean {
    return (
      this.#isListed(runner) &&
      !(this.#orders?.isDraining(runner.runnerId) ?? false)
    );
  }

  #isListed(runner: Runner): boolean {
    const listed = this.#listView.findRunner(runner.runnerId);
    return listed?.state === "live" && !this.#leaving.has(runner.runnerId);
  }

  async #askIsLeaving(
    runner: Runner,
    type: "engine" | "plain",
  ): Promise<boolean | undefined> {
    switch (type) {
      case "plain":
        return await new PlainServiceClient(runner).readIsLeaving(
          ASK_TIMEOUT_MS,
        );
      case "engine": {
        const load = await this.readLoad(runner.runnerId);
        return load.ok ? load.value.isLeaving : undefined;
      }
    }
  }

  // Peers with an older list learn of it from here.
  #noteListedLeaving(): void {
    for (const { runnerId, state } of this.#listView.list.runners) {
      if (state === "leaving") this.noteLeaving(runnerId, "list");
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
      const answer = await this.readLoad(runnerId);
      if (answer.ok) this.health.recordSuccess(runnerId);
      else if (!signal.aborted && this.health.recordFailure(runnerId)) {
        const reason = answer.error;
        this.#logger.warn("runner_ejected", { runner: runnerId, reason });
      }
      if (answer.ok) await this.#readPrefixes(runnerId);
      const jitter = 0.75 + Math.random() / 2;
      await sleep(this.#loadIntervalMs * jitter, signal);
    }
  }

  async #readPrefixes(runnerId: string): Promise<void> {
    const runner = this.#listView.findRunner(runnerId);
    const prefixes = runner && this.#findPrefixes(runner);
    if (!prefixes) return;
    const client = new EngineClient(runner);
    const answer = await client.readCacheEvents(prefixes.lastSequence);
    if (!answer.ok) return;
    prefixes.apply(answer.value.events, answer.value.lastSequence);
  }

  #noteLoad(runner: Runner, load: RunnerLoad): void {
    if (load.runnerId !== runner.runnerId) return;
    this.#loads.set(runner.runnerId, { load, readAtMs: monotonicMs() });
    if (load.isLeaving) this.noteLeaving(runner.runnerId, "runner");
    this.#onLoad(runner, load);
  }
}
