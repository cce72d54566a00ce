import { elapsedAtMostMs, type ClockReading } from "@jujubeladder/utils";
import type { GatewayRunner } from "../model/gateway_runner.js";
import type { RelayedRunners } from "../model/relayed_runners.js";
import type { RunnerChange } from "../model/runner_change.js";
import { ChangeSignal } from "./change_signal.js";

/** Changes that are kept for peers; who is further behind gets the list. */
const MOST_CHANGES = 500;

interface LogEntry {
  readonly asOf: number;
  readonly changes: readonly RunnerChange[];
}

/**
 * The list of runners as the store has it, with its latest changes, for peers
 * that do not read the store themselves.
 */
export class RunnerMirror {
  readonly #runners = new Map<string, GatewayRunner>();
  readonly #log: LogEntry[] = [];
  readonly #changed = new ChangeSignal();
  #logSince = 0;
  #asOf = 0;
  #readAt: ClockReading | undefined;

  /** Takes the whole list; `readAt` is no later than the read's sending. */
  noteList(
    runners: readonly GatewayRunner[],
    read: { readonly asOf: number; readonly readAt: ClockReading },
  ): void {
    this.#runners.clear();
    for (const runner of runners) this.#runners.set(runner.runnerId, runner);
    this.#log.length = 0;
    this.#logSince = read.asOf;
    this.#noteRead(read);
    this.#changed.notify();
  }

  /** Takes changes since the last read; there may be none. */
  noteChanges(
    changes: readonly RunnerChange[],
    read: { readonly asOf: number; readonly readAt: ClockReading },
  ): void {
    for (const change of changes) {
      if (change.type === "put") {
        this.#runners.set(change.runner.runnerId, change.runner);
      } else this.#runners.delete(change.runnerId);
    }
    this.#noteRead(read);
    if (changes.length === 0) return;
    this.#log.push({ asOf: read.asOf, changes });
    while (this.#log.length > MOST_CHANGES) {
      this.#logSince = this.#log.shift()?.asOf ?? this.#logSince;
    }
    this.#changed.notify();
  }

  /**
   * What is known beyond a revision, waiting for a change while `mayWait`
   * holds; undefined when this instance is not ahead of the one that asks.
   */
  async readBeyond(
    asOf: number,
    options: { readonly waitMs: number; readonly mayWait: () => boolean },
  ): Promise<RelayedRunners | undefined> {
    const isOver = () => this.#asOf > asOf || !options.mayWait();
    await this.#changed.waitUntil(isOver, options.waitMs);
    if (!this.#readAt || this.#asOf < asOf) return undefined;
    const known = { asOf: this.#asOf, ageMs: elapsedAtMostMs(this.#readAt) };
    if (asOf === 0 || asOf < this.#logSince) {
      return { ...known, type: "list", runners: [...this.#runners.values()] };
    }
    const changes = this.#log
      .filter((entry) => entry.asOf > asOf)
      .flatMap((entry) => entry.changes);
    return { ...known, type: "changes", changes };
  }

  #noteRead(read: {
    readonly asOf: number;
    readonly readAt: ClockReading;
  }): void {
    this.#asOf = Math.max(this.#asOf, read.asOf);
    this.#readAt = read.readAt;
  }
}
