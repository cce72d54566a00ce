import type { GatewayRunner } from "../model/gateway_runner.js";
import type { RunnerChange } from "../model/runner_change.js";
import type { StorePosition } from "../model/store_position.js";
import type { StoreModel } from "./store_model.js";

/** Instances that follow a reader reject an older view. */
const MAX_VIEW_AGE_MS = 1_800;

/** What a reader answers to an instance that follows it. */
export type ReaderAnswer =
  | {
      readonly type: "list";
      readonly runners: readonly GatewayRunner[];
      readonly asOf: StorePosition;
    }
  | {
      readonly type: "changes";
      readonly changes: readonly RunnerChange[];
      readonly asOf: StorePosition;
    };

/** An instance that reads the store for others, up to some time behind. */
export class StoreReaderModel {
  readonly #runners = new Map<string, GatewayRunner>();
  #log: readonly {
    readonly revision: number;
    readonly changes: readonly RunnerChange[];
  }[] = [];
  #logStart = 0;
  #asOf: StorePosition | undefined;
  #readAtMs = 0;
  #nextReadMs = 0;

  /** Reads the store if it is time to; the next time is `waitMs` later. */
  read(
    store: StoreModel,
    { nowMs, waitMs }: { readonly nowMs: number; readonly waitMs: number },
  ): void {
    if (store.isAway || nowMs < this.#nextReadMs) return;
    this.#readAtMs = nowMs;
    this.#nextReadMs = nowMs + waitMs;
    const changes = this.#asOf && store.watch(this.#asOf);
    if (changes) this.#applyChanges(changes, store.asOf);
    else this.#replaceList(store.list(), store.asOf);
  }

  /** A reader that is behind its follower answers with its own, older list. */
  answer(
    since: StorePosition | undefined,
    nowMs: number,
  ): ReaderAnswer | undefined {
    const asOf = this.#asOf;
    if (!asOf || nowMs - this.#readAtMs > MAX_VIEW_AGE_MS) return undefined;
    const isCovered =
      since?.era === asOf.era &&
      since.revision >= this.#logStart &&
      since.revision <= asOf.revision;
    if (!isCovered)
      return { type: "list", runners: [...this.#runners.values()], asOf };
    const changes = this.#log
      .filter(({ revision }) => revision > since.revision)
      .flatMap((entry) => entry.changes);
    return { type: "changes", changes, asOf };
  }

  #replaceList(runners: readonly GatewayRunner[], asOf: StorePosition): void {
    this.#runners.clear();
    for (const runner of runners) this.#runners.set(runner.runnerId, runner);
    this.#log = [];
    this.#logStart = asOf.revision;
    this.#asOf = asOf;
  }

  #applyChanges(changes: readonly RunnerChange[], asOf: StorePosition): void {
    for (const change of changes) {
      if (change.type === "put")
        this.#runners.set(change.runner.runnerId, change.runner);
      else this.#runners.delete(change.runnerId);
    }
    this.#log = [...this.#log, { revision: asOf.revision, changes }];
    this.#asOf = asOf;
  }
}
