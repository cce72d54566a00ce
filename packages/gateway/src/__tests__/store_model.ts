import { compareStorePositions } from "../model/compare_store_positions.js";
import type { GatewayRunner } from "../model/gateway_runner.js";
import type { RunnerChange } from "../model/runner_change.js";
import type { StorePosition } from "../model/store_position.js";
import { toIncarnationId } from "../model/to_incarnation_id.js";

/** Three heartbeat intervals of silence. */
const ENTRY_LIFETIME_MS = 3_600;

interface Entry {
  readonly runner: GatewayRunner;
  readonly expiresAtMs: number;
}

interface LoggedChange {
  readonly revision: number;
  readonly change: RunnerChange;
}

interface Copy {
  readonly atMs: number;
  readonly revision: number;
  readonly entries: ReadonlyMap<string, Entry>;
}

/** A store that may be restored from a copy; its clock is given to each call. */
export class StoreModel {
  readonly #copies: Copy[] = [];
  /** Where each incarnation has registered, in whichever era. */
  readonly #registrations = new Map<string, StorePosition[]>();
  #entries = new Map<string, Entry>();
  #log: readonly LoggedChange[] = [];
  #historyStart = 1;
  #era = 1;
  #revision = 1;
  isAway = false;

  get asOf(): StorePosition {
    return { era: this.#era, revision: this.#revision };
  }

  list(): readonly GatewayRunner[] {
    return [...this.#entries.values()].map(({ runner }) => runner);
  }

  find(runnerId: string): GatewayRunner | undefined {
    return this.#entries.get(runnerId)?.runner;
  }

  /** The changes since a position, or undefined if that history is gone. */
  watch({ era, revision }: StorePosition): readonly RunnerChange[] | undefined {
    const isKnown =
      era === this.#era &&
      revision <= this.#revision &&
      revision >= this.#historyStart;
    if (!isKnown) return undefined;
    return this.#log
      .filter((logged) => logged.revision > revision)
      .map(({ change }) => change);
  }

  /** Registers a runner; a heartbeat by itself is no change. */
  register(
    runner: GatewayRunner,
    { nowMs, isNew }: { readonly nowMs: number; readonly isNew: boolean },
  ): void {
    const known = this.#entries.get(runner.runnerId)?.runner;
    const entry = { runner, expiresAtMs: nowMs + ENTRY_LIFETIME_MS };
    this.#entries.set(runner.runnerId, entry);
    const isSame =
      known?.startedAtMs === runner.startedAtMs && known.state === runner.state;
    if (isSame && !isNew) return;
    this.#record({ type: "put", runner }, nowMs);
    const incarnationId = toIncarnationId(runner);
    const registrations = this.#registrations.get(incarnationId) ?? [];
    this.#registrations.set(incarnationId, [...registrations, this.asOf]);
  }

  remove(runnerId: string, nowMs: number): void {
    if (!this.#entries.delete(runnerId)) return;
    this.#record({ type: "removed", runnerId }, nowMs);
  }

  expire(nowMs: number): void {
    for (const [runnerId, { expiresAtMs }] of this.#entries)
      if (expiresAtMs <= nowMs) this.remove(runnerId, nowMs);
  }

  dropHistory(): void {
    this.#historyStart = this.#revision;
  }

  /** Comes back as it was `copyAgeMs` ago; revisions are given out again. */
  restore(copyAgeMs: number, nowMs: number): void {
    const copy = this.#copies.findLast(
      ({ atMs }) => atMs <= nowMs - copyAgeMs,
    ) ?? { revision: 1, entries: new Map<string, Entry>() };
    this.#entries = new Map(
      [...copy.entries].map(([runnerId, { runner }]) => [
        runnerId,
        { runner, expiresAtMs: nowMs + ENTRY_LIFETIME_MS },
      ]),
    );
    this.#era += 1;
    this.#revision = copy.revision;
    this.#log = [];
    this.#historyStart = copy.revision;
    this.#copies.length = 0;
    this.#saveCopy(nowMs);
    this.isAway = false;
  }

  /** True if an incarnation has registered later than a position. */
  hasRegisteredSince(incarnationId: string, asOf: StorePosition): boolean {
    const registrations = this.#registrations.get(incarnationId) ?? [];
    return registrations.some((at) => compareStorePositions(at, asOf) > 0);
  }

  #record(change: RunnerChange, nowMs: number): void {
    this.#revision += 1;
    this.#log = [...this.#log, { revision: this.#revision, change }];
    this.#saveCopy(nowMs);
  }

  #saveCopy(atMs: number): void {
    const entries = new Map(this.#entries);
    this.#copies.push({ atMs, revision: this.#revision, entries });
  }
}
