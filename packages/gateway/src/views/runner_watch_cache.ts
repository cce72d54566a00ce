import { maxElapsedMs, type ClockReading } from "@jujubeladder/utils";
import { compareStorePositions } from "../model/compare_store_positions.js";
import type { GatewayRunner } from "../model/gateway_runner.js";
import type { RunnerListRead } from "../model/runner_list_read.js";
import type { RunnerListUpdate } from "../model/runner_list_update.js";
import type { RunnerChange } from "../model/runner_change.js";
import type { StorePosition } from "../model/store_position.js";
import { ChangeSignal } from "./change_signal.js";

const INITIAL_POSITION: StorePosition = { era: 0, revision: 0 };

/** Peers that are behind the oldest entry get the whole list. */
const MAX_LOG_ENTRIES = 500;

interface LogEntry {
  readonly asOf: StorePosition;
  readonly changes: readonly RunnerChange[];
}

/**
 * Caches the store's list of runners and a log of its latest changes, for peers
 * that do not read the store themselves.
 */
export class RunnerWatchCache {
  readonly #runners = new Map<string, GatewayRunner>();
  readonly #log: LogEntry[] = [];
  readonly #changed = new ChangeSignal();
  readonly #onChanged: () => void;
  readonly #onRead: (read: RunnerListRead) => void;
  #logStart = INITIAL_POSITION;
  #asOf = INITIAL_POSITION;
  #changedAsOf = INITIAL_POSITION;
  #readAt: ClockReading | undefined;

  constructor(
    options: {
      readonly onChanged?: () => void;
      readonly onRead?: (read: RunnerListRead) => void;
    } = {},
  ) {
    this.#onChanged = options.onChanged ?? (() => undefined);
    this.#onRead = options.onRead ?? (() => undefined);
  }

  /** The store's position of the list; at revision 0 before the first read. */
  get asOf(): StorePosition {
    return this.#asOf;
  }

  /** The position up to which the list has changed. */
  get changedAsOf(): StorePosition {
    return this.#changedAsOf;
  }

  /** Time since the newest read was sent. */
  get ageMs(): number {
    return this.#readAt ? maxElapsedMs(this.#readAt) : Number.POSITIVE_INFINITY;
  }

  /** Replaces the list; `readAt` must be no later than the read's sending. */
  replaceList(
    runners: readonly GatewayRunner[],
    read: { readonly asOf: StorePosition; readonly readAt: ClockReading },
  ): void {
    this.#runners.clear();
    for (const runner of runners) this.#runners.set(runner.runnerId, runner);
    this.#log.length = 0;
    this.#logStart = read.asOf;
    this.#recordRead({ ...read, isWholeList: true });
    this.#recordChange();
  }

  /** Applies the changes since the last read, of which there may be none. */
  applyChanges(
    changes: readonly RunnerChange[],
    read: { readonly asOf: StorePosition; readonly readAt: ClockReading },
  ): void {
    for (const change of changes) {
      if (change.type === "put") {
        this.#runners.set(change.runner.runnerId, change.runner);
      } else this.#runners.delete(change.runnerId);
    }
    this.#recordRead({ ...read, isWholeList: false });
    if (changes.length === 0) return;
    this.#log.push({ asOf: read.asOf, changes });
    while (this.#log.length > MAX_LOG_ENTRIES) {
      this.#logStart = this.#log.shift()?.asOf ?? this.#logStart;
    }
    this.#recordChange();
  }

  /**
   * Returns the changes after a position, or the whole list. Waits for a change
   * while `shouldWait` holds; undefined if this instance is behind `asOf` or
   * has read nothing yet.
   */
  async readSince(
    asOf: StorePosition | undefined,
    options: { readonly waitMs: number; readonly shouldWait: () => boolean },
  ): Promise<RunnerListUpdate | undefined> {
    const since = asOf ?? INITIAL_POSITION;
    const isDone = () =>
      compareStorePositions(this.#asOf, since) > 0 || !options.shouldWait();
    await this.#changed.waitUntil(isDone, options.waitMs);
    const isBehind = compareStorePositions(this.#asOf, since) < 0;
    if (!this.#readAt || isBehind) return undefined;
    const known = { asOf: this.#asOf, ageMs: maxElapsedMs(this.#readAt) };
    if (!asOf || compareStorePositions(asOf, this.#logStart) < 0) {
      return { ...known, type: "list", runners: [...this.#runners.values()] };
    }
    const changes = this.#log
      .filter((entry) => compareStorePositions(entry.asOf, asOf) > 0)
      .flatMap((entry) => entry.changes);
    return { ...known, type: "changes", changes };
  }

  #recordChange(): void {
    this.#changedAsOf = this.#asOf;
    this.#changed.notify();
    this.#onChanged();
  }

  #recordRead(read: RunnerListRead): void {
    this.#asOf = read.asOf;
    this.#readAt = read.readAt;
    this.#onRead(read);
  }
}
