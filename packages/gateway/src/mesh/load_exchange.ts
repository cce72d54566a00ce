import type {
  DatagramEndpoint,
  PeerDatagrams,
} from "@jujubeladder/coordination";
import type { LoadTable as LoadTableMessage } from "@jujubeladder/protocol";
import { monotonicMs, settleWithin, sleep } from "@jujubeladder/utils";
import type { FleetLoads } from "../decisions/fleet_loads.js";
import type { StoreReaderSelector } from "../decisions/store_reader_selector.js";
import type { PlacementQuestion } from "../model/placement_question.js";
import type { LoadTable } from "../model/load_table.js";
import type { RunnerLoad } from "../model/runner_load.js";
import { decodeLoadTable } from "./decode_load_table.js";
import { encodeLoadTable } from "./encode_load_table.js";
import { parseAddress } from "./parse_address.js";

/** Changes of this time are told to the other collectors together. */
const CHANGES_DELAY_MS = 20;
/** Interval at which collectors tell all, as datagrams may be lost. */
const TABLE_INTERVAL_MS = 1_000;
/** Placements of this time are reported together. */
const REPORT_DELAY_MS = 5;
/** Two round trips within a region, and a busy collector. */
const REFRESH_TIMEOUT_MS = 60;
/** A collector that does not answer is not waited for again for this long. */
const FAILURE_COOLDOWN_MS = 1_000;

/** Dependencies of the exchange. */
interface LoadExchangeDependencies {
  readonly fleetLoads: FleetLoads;
  readonly selector: Pick<
    StoreReaderSelector,
    "pick" | "listReaders" | "pickArbiter"
  >;
  readonly ownId: string;
  /** Decides on a placement as the instance at which they meet. */
  readonly decide: (question: PlacementQuestion) => boolean;
  readonly datagrams: Pick<PeerDatagrams, "sendLoads" | "askPlacement">;
  /** Asks a peer for its view, which also records the loads in its answer. */
  readonly queryView: (peer: DatagramEndpoint) => Promise<unknown>;
  readonly describeOwn: () => LoadTable;
  /** False in small fleets, in which gossip reaches all instances. */
  readonly isOn: () => boolean;
}

/**
 * Exchanges the loads that instances have placed on runners, see `FleetLoads`:
 * an instance reports each change to its collector and asks it before it places
 * a generation, and collectors tell each other what has changed.
 */
export class LoadExchange {
  readonly #dependencies: LoadExchangeDependencies;
  readonly #sent = new Map<number, RunnerLoad>();
  #reportTimer: NodeJS.Timeout | undefined;
  #changesTimer: NodeJS.Timeout | undefined;
  #refreshing: Promise<boolean> | undefined;
  #failedAtMs = Number.NEGATIVE_INFINITY;
  readonly #arbiterFailedAtMs = new Map<string, number>();

  constructor(dependencies: LoadExchangeDependencies) {
    this.#dependencies = dependencies;
  }

  /**
   * Gets the loads of the other instances before a placement; resolves soon also
   * without an answer.
   */
  async refresh(): Promise<void> {
    const collector = this.#findCollector();
    if (!collector) return;
    if (monotonicMs() - this.#failedAtMs < FAILURE_COOLDOWN_MS) return;
    this.#refreshing ??= this.#query(collector).finally(() => {
      this.#refreshing = undefined;
    });
    await this.#refreshing;
  }

  /**
   * Asks the instance at which the placements on a runner meet for a placement
   * there, as many instances may see the same free memory at once. Without an
   * answer the placement goes ahead.
   */
  async confirm(
    runner: { readonly runnerId: string; readonly region: string },
    question: PlacementQuestion,
  ): Promise<boolean> {
    const { isOn, selector, ownId, decide, datagrams } = this.#dependencies;
    const arbiter = isOn() ? selector.pickArbiter(runner) : undefined;
    if (arbiter === undefined) return true;
    if (arbiter === ownId) return decide(question);
    const address = parseAddress(arbiter);
    const nowMs = monotonicMs();
    const failedAtMs = this.#arbiterFailedAtMs.get(arbiter);
    const hasFailed =
      failedAtMs !== undefined && nowMs - failedAtMs < FAILURE_COOLDOWN_MS;
    if (!address || hasFailed) return true;
    const isGranted = await settleWithin(
      datagrams.askPlacement(address, question),
      REFRESH_TIMEOUT_MS,
    );
    if (isGranted === undefined) this.#arbiterFailedAtMs.set(arbiter, nowMs);
    else this.#arbiterFailedAtMs.delete(arbiter);
    return isGranted ?? true;
  }

  /** Reports a change of what this instance has placed. */
  scheduleReport(): void {
    if (this.#reportTimer || !this.#dependencies.isOn()) return;
    this.#reportTimer = setTimeout(() => {
      this.#reportTimer = undefined;
      const collector = this.#findCollector();
      if (collector) this.#report(collector);
      else this.#scheduleChanges();
    }, REPORT_DELAY_MS);
    this.#reportTimer.unref();
  }

  /** Merges what a peer reports, by its address. */
  handleReport(peerId: string, message: LoadTableMessage): void {
    const table = decodeLoadTable(message);
    if (!table) return;
    const { fleetLoads } = this.#dependencies;
    switch (message.kind) {
      case "":
      case "own":
        fleetLoads.recordFollower(peerId, table);
        this.#scheduleChanges();
        break;
      case "group":
        fleetLoads.recordCollector(peerId, table);
        break;
      case "changes":
        fleetLoads.recordCollectorChanges(peerId, table);
        break;
    }
  }

  /** Tells other collectors while this instance is one, until the signal. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleep(TABLE_INTERVAL_MS, signal);
      if (this.#isCollector()) this.#tellCollectors({ isTable: true });
    }
  }

  #isCollector(): boolean {
    const { isOn, selector } = this.#dependencies;
    return isOn() && selector.pick() === undefined;
  }

  #scheduleChanges(): void {
    if (this.#changesTimer || !this.#isCollector()) return;
    this.#changesTimer = setTimeout(() => {
      this.#changesTimer = undefined;
      this.#tellCollectors({ isTable: false });
    }, CHANGES_DELAY_MS);
    this.#changesTimer.unref();
  }

  #findCollector(): DatagramEndpoint | undefined {
    const { isOn, selector } = this.#dependencies;
    const instanceId = isOn() ? selector.pick() : undefined;
    return instanceId === undefined ? undefined : parseAddress(instanceId);
  }

  async #query(collector: DatagramEndpoint): Promise<boolean> {
    const answer = await settleWithin(
      this.#dependencies.queryView(collector),
      REFRESH_TIMEOUT_MS,
    );
    if (answer === undefined) this.#failedAtMs = monotonicMs();
    return answer !== undefined;
  }

  #report(collector: DatagramEndpoint): void {
    const { datagrams, describeOwn } = this.#dependencies;
    const loads = encodeLoadTable(describeOwn());
    datagrams.sendLoads(collector, { ...loads, kind: "own" });
  }

  #tellCollectors({ isTable }: { readonly isTable: boolean }): void {
    const { fleetLoads, selector, datagrams } = this.#dependencies;
    const group = fleetLoads.describeGroup();
    const table = isTable ? group : this.#findChanges(group);
    for (const [hash, load] of group) this.#sent.set(hash, load);
    for (const hash of this.#sent.keys()) {
      if (!group.has(hash)) this.#sent.delete(hash);
    }
    if (!isTable && table.size === 0) return;
    const loads = {
      ...encodeLoadTable(table),
      kind: isTable ? "group" : "changes",
    };
    for (const reader of selector.listReaders()) {
      const address = parseAddress(reader);
      if (address) datagrams.sendLoads(address, loads);
    }
  }

  // Also tells of runners whose last load of the group has ended.
  #findChanges(group: LoadTable): LoadTable {
    const changes = new Map<number, RunnerLoad>();
    for (const [hash, load] of group) {
      const sent = this.#sent.get(hash);
      const isSame =
        sent?.requests === load.requests &&
        sent.peakTokens === load.peakTokens &&
        sent.unreadTokens === load.unreadTokens;
      if (!isSame) changes.set(hash, load);
    }
    for (const hash of this.#sent.keys()) {
      if (!group.has(hash))
        changes.set(hash, { requests: 0, peakTokens: 0, unreadTokens: 0 });
    }
    return changes;
  }
}
