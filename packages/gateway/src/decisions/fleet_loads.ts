import { hash32, monotonicMs } from "@jujubeladder/utils";
import type { LoadTable } from "../model/load_table.js";
import type { RunnerLoad } from "../model/runner_load.js";
import { addLoads } from "./add_loads.js";
import { EMPTY_LOAD } from "./empty_load.js";
import { LoadSums } from "./load_sums.js";
import { scaleLoad } from "./scale_load.js";

/** Three intervals at which followers ask for the view of the store. */
const FOLLOWER_TTL_MS = 1_100;
/** Two intervals at which collectors tell all. */
const COLLECTOR_TTL_MS = 2_000;
/** An older answer tells less than gossip does. */
const ANSWER_TTL_MS = 1_500;

/**
 * What all other instances have placed on each runner. In a large fleet gossip
 * reaches a fraction of the instances in time, so that most runners look empty.
 * Instead, the instances that read the store collect the loads of those that ask
 * them for its view, exchange their sums, and answer with what the others of the
 * fleet have placed.
 */
export class FleetLoads {
  readonly #describeOwn: () => LoadTable;
  readonly #nowMs: () => number;
  readonly #followers = new LoadSums(FOLLOWER_TTL_MS);
  readonly #collectors = new LoadSums(COLLECTOR_TTL_MS);
  #answer: { readonly table: LoadTable; readonly atMs: number } | undefined;

  /** `describeOwn` returns what this instance has placed. */
  constructor(describeOwn: () => LoadTable, nowMs: () => number = monotonicMs) {
    this.#describeOwn = describeOwn;
    this.#nowMs = nowMs;
  }

  /** True if this instance knows what the others have placed. */
  get isCurrent(): boolean {
    if (this.#hasAnswer()) return true;
    this.#evictExpired();
    return this.#followers.size + this.#collectors.size > 0;
  }

  /** Records what a follower of this instance has placed. */
  recordFollower(instanceId: string, table: LoadTable): void {
    this.#collectors.remove(instanceId);
    this.#followers.record(instanceId, table, this.#nowMs());
  }

  /** Records the sum of another collector and its followers. */
  recordCollector(instanceId: string, table: LoadTable): void {
    this.#followers.remove(instanceId);
    this.#collectors.record(instanceId, table, this.#nowMs());
  }

  /** Records the runners at which the sum of another collector has changed. */
  recordCollectorChanges(instanceId: string, changes: LoadTable): void {
    const known = this.#collectors.findReport(instanceId);
    const table = new Map([...(known ?? []), ...changes]);
    for (const [hash, { requests }] of changes) {
      if (requests === 0) table.delete(hash);
    }
    this.recordCollector(instanceId, table);
  }

  /** Records the answer of this instance's collector. */
  recordAnswer(table: LoadTable): void {
    this.#answer = { table, atMs: this.#nowMs() };
  }

  /** What this instance and its followers have placed, for other collectors. */
  describeGroup(): LoadTable {
    this.#evictExpired();
    return this.#sum(this.#describeOwn(), [this.#followers]);
  }

  /** What all but one follower have placed, for that follower. */
  describeOthers(followerId: string): LoadTable {
    this.#evictExpired();
    const sum = this.#sum(this.#describeOwn(), [
      this.#followers,
      this.#collectors,
    ]);
    // Asked in place of a collector that failed: others tell this one nothing.
    if (this.#collectors.size === 0 && this.#hasAnswer())
      addAll(sum, this.#answer?.table ?? new Map());
    const own = this.#followers.findReport(followerId);
    for (const [hash, load] of own ?? []) {
      const known = sum.get(hash);
      if (known) sum.set(hash, addLoads(known, scaleLoad(load, -1)));
    }
    return sum;
  }

  /** What all others have placed on a runner; undefined if that is not known. */
  find(runnerId: string): RunnerLoad | undefined {
    const hash = hash32(runnerId);
    if (this.#hasAnswer()) return this.#answer?.table.get(hash) ?? EMPTY_LOAD;
    if (!this.isCurrent) return undefined;
    return addLoads(
      this.#followers.find(hash) ?? EMPTY_LOAD,
      this.#collectors.find(hash) ?? EMPTY_LOAD,
    );
  }

  #hasAnswer(): boolean {
    return (
      this.#answer !== undefined &&
      this.#nowMs() - this.#answer.atMs < ANSWER_TTL_MS
    );
  }

  #evictExpired(): void {
    const nowMs = this.#nowMs();
    this.#followers.evictExpired(nowMs);
    this.#collectors.evictExpired(nowMs);
  }

  #sum(own: LoadTable, parts: readonly LoadSums[]): Map<number, RunnerLoad> {
    const total = new Map(own);
    for (const part of parts) addAll(total, part.list());
    return total;
  }
}

function addAll(
  total: Map<number, RunnerLoad>,
  loads: Iterable<readonly [number, RunnerLoad]>,
): void {
  for (const [hash, load] of loads) {
    const known = total.get(hash);
    total.set(hash, known ? addLoads(known, load) : load);
  }
}
