import type { LoadTable } from "../model/load_table.js";
import type { RunnerLoad } from "../model/runner_load.js";
import { RegionLoads } from "./region_loads.js";

interface Report {
  readonly table: LoadTable;
  readonly receivedAtMs: number;
}

/** Sum of the last load tables of several instances, which expire. */
export class LoadSums {
  readonly #ttlMs: number;
  /** In order of arrival. */
  readonly #reports = new Map<string, Report>();
  readonly #sums = new RegionLoads<number>();

  constructor(ttlMs: number) {
    this.#ttlMs = ttlMs;
  }

  get size(): number {
    return this.#reports.size;
  }

  record(instanceId: string, table: LoadTable, nowMs: number): void {
    this.remove(instanceId);
    this.#reports.set(instanceId, { table, receivedAtMs: nowMs });
    this.#sums.add(table);
  }

  remove(instanceId: string): void {
    const report = this.#reports.get(instanceId);
    if (!report) return;
    this.#reports.delete(instanceId);
    this.#sums.subtract(report.table);
  }

  evictExpired(nowMs: number): void {
    for (const [instanceId, { receivedAtMs }] of this.#reports) {
      if (nowMs - receivedAtMs < this.#ttlMs) return;
      this.remove(instanceId);
    }
  }

  find(runnerHash: number): RunnerLoad | undefined {
    return this.#sums.find(runnerHash);
  }

  list(): Iterable<readonly [number, RunnerLoad]> {
    return this.#sums.entries();
  }

  findReport(instanceId: string): LoadTable | undefined {
    return this.#reports.get(instanceId)?.table;
  }
}
