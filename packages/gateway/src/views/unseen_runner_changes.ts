import { monotonicMs, sleep } from "@jujubeladder/utils";
import type { MetadataStore } from "../model/metadata_store.js";
import type { RunnerChange } from "../model/runner_change.js";
import type { RunnerWatchCache } from "./runner_watch_cache.js";

const CALL_TIMEOUT_MS = 400;
/** After a failed read, for this long nobody waits for another one. */
const FAILURE_PAUSE_MS = 500;

/**
 * Reads from the store what the known list of runners does not reflect yet. Those
 * that ask before a read is sent share it; nobody gets one that was sent earlier.
 */
export class UnseenRunnerChanges {
  readonly #store: MetadataStore;
  readonly #watchCache: Pick<RunnerWatchCache, "asOf">;
  readonly #intervalMs: () => number;
  #next: Promise<readonly RunnerChange[] | undefined> | undefined;
  #running: Promise<unknown> = Promise.resolve();
  #sentAtMs = Number.NEGATIVE_INFINITY;
  #failedAtMs = Number.NEGATIVE_INFINITY;

  /** `intervalMs` is the least time between two reads. */
  constructor(
    store: MetadataStore,
    watchCache: Pick<RunnerWatchCache, "asOf">,
    intervalMs: () => number,
  ) {
    this.#store = store;
    this.#watchCache = watchCache;
    this.#intervalMs = intervalMs;
  }

  /** Reads the changes up to now at least; undefined if the store tells none. */
  async read(): Promise<readonly RunnerChange[] | undefined> {
    if (monotonicMs() - this.#failedAtMs < FAILURE_PAUSE_MS) return undefined;
    this.#next ??= this.#readNext();
    return await this.#next;
  }

  async #readNext(): Promise<readonly RunnerChange[] | undefined> {
    await this.#running;
    const waitMs = this.#sentAtMs + this.#intervalMs() - monotonicMs();
    if (waitMs > 0) await sleep(waitMs);
    this.#next = undefined;
    const call = this.#call();
    this.#running = call;
    return await call;
  }

  async #call(): Promise<readonly RunnerChange[] | undefined> {
    const { asOf } = this.#watchCache;
    if (asOf.revision === 0) return undefined;
    this.#sentAtMs = monotonicMs();
    const read = await this.#store.readRunnerChanges?.({
      asOf,
      timeoutMs: CALL_TIMEOUT_MS,
    });
    this.#failedAtMs = read?.ok ? Number.NEGATIVE_INFINITY : monotonicMs();
    if (!read?.ok) return undefined;
    switch (read.value.type) {
      case "changed":
        return read.value.value;
      case "unchanged":
        return [];
      case "history_lost":
        return undefined;
    }
  }
}
