import { Logger } from "@jujubeladder/logger";
import { sleep } from "@jujubeladder/utils";
import type { GatewayRunner } from "../../model/gateway_runner.js";
import type { MetadataStore } from "../../model/metadata_store.js";
import type { RunnerChange } from "../../model/runner_change.js";
import type { StorePosition } from "../../model/store_position.js";
import { StoreEraTracker } from "../../views/store_era_tracker.js";

type Change =
  | { readonly key: "config"; readonly text: string }
  | { readonly key: "runner"; readonly change: RunnerChange };

interface Data {
  readonly config: string | undefined;
  readonly runners: ReadonlyMap<string, GatewayRunner>;
  readonly revision: number;
  readonly history: readonly (Change & { readonly revision: number })[];
}

const LOGGER = new Logger({});
const LATENCY_MS = 8;
const LOST = { type: "history_lost" } as const;
const EMPTY: Data = {
  config: undefined,
  runners: new Map(),
  revision: 1,
  history: [],
};

/** A store without a network that can come back from an older copy. */
export class ModelStore {
  /** Times of the calls that reached it, refused ones too. */
  readonly callTimesMs: number[] = [];
  readonly #random: () => number;
  readonly #copies: { readonly sinceMs: number; readonly data: Data }[] = [];
  readonly #waiters = new Set<() => void>();
  #data = EMPTY;
  #era = 1;
  #isAway = false;
  /** False for a store whose answers lack the era. */
  tellsEra = true;

  constructor(random: () => number) {
    this.#random = random;
  }

  get isAway(): boolean {
    return this.#isAway;
  }

  get data(): Data {
    return this.#data;
  }

  putConfig(text: string): void {
    this.#write({ key: "config", text });
  }

  putRunner(runner: GatewayRunner): void {
    this.#write({ key: "runner", change: { type: "put", runner } });
  }

  removeRunner(runnerId: string): void {
    if (!this.#data.runners.has(runnerId)) return;
    this.#write({ key: "runner", change: { type: "removed", runnerId } });
  }

  goAway(): void {
    this.#isAway = true;
    this.#notify();
  }

  /** Comes back with the data of that long ago. */
  restore(copyAgeMs: number): void {
    const atMs = performance.now() - copyAgeMs;
    const copy = this.#copies.findLast(({ sinceMs }) => sinceMs <= atMs);
    this.#data = copy?.data ?? EMPTY;
    this.#era += 1;
    this.#copies.push({ sinceMs: performance.now(), data: this.#data });
    this.#isAway = false;
    this.#notify();
  }

  /** The view of one instance, whose link may be cut. */
  connect(isReachable: () => boolean): MetadataStore {
    const eras = new StoreEraTracker(LOGGER);
    const call = async <Value>(
      timeoutMs: number,
      answer: () => Promise<Value>,
    ): Promise<
      { readonly ok: true; readonly value: Value } | ReturnType<typeof failed>
    > => {
      this.callTimesMs.push(performance.now());
      if (!isReachable()) {
        await sleep(timeoutMs);
        return failed("no answer");
      }
      await sleep(LATENCY_MS * (0.5 + this.#random()));
      if (this.#isAway) return failed("refused");
      const era = this.#era;
      const value = await answer();
      if (this.#isAway || this.#era !== era) return failed("connection cut");
      await sleep(LATENCY_MS * (0.5 + this.#random()));
      if (!isReachable()) return failed("connection cut");
      eras.recordAnswer(this.tellsEra ? era : undefined);
      return { ok: true, value };
    };
    return {
      get era() {
        return eras.told;
      },
      get eraAgeMs() {
        return eras.toldAgeMs;
      },
      recordPeerEra: (era, peerId) => {
        eras.recordClaim(era, peerId);
      },
      readConfig: async ({ timeoutMs }) =>
        call(timeoutMs, async () =>
          Promise.resolve({ text: this.#data.config, asOf: this.#position }),
        ),
      listRunners: async ({ timeoutMs }) =>
        call(timeoutMs, async () =>
          Promise.resolve({
            runners: [...this.#data.runners.values()],
            asOf: this.#position,
          }),
        ),
      watchConfig: async (options) =>
        call(options.timeoutMs, async () => {
          if (options.asOf.era < eras.current) return LOST;
          const changes = await this.#watch("config", options);
          if (!changes) return LOST;
          const last = changes.at(-1);
          return last?.key === "config"
            ? ({
                type: "changed",
                value: last.text,
                asOf: this.#position,
              } as const)
            : ({ type: "unchanged", asOf: this.#position } as const);
        }),
      watchRunners: async (options) =>
        call(options.timeoutMs, async () => {
          if (options.asOf.era < eras.current) return LOST;
          const changes = await this.#watch("runner", options);
          if (!changes) return LOST;
          const value = changes.flatMap((entry) =>
            entry.key === "runner" ? [entry.change] : [],
          );
          return value.length > 0
            ? ({ type: "changed", value, asOf: this.#position } as const)
            : ({ type: "unchanged", asOf: this.#position } as const);
        }),
    };
  }

  get #position(): StorePosition {
    const era = this.tellsEra ? this.#era : 0;
    return { era, revision: this.#data.revision };
  }

  // The client refuses answers of another era than its position's.
  async #watch(
    key: Change["key"],
    { asOf, waitMs }: { readonly asOf: StorePosition; readonly waitMs: number },
  ): Promise<Data["history"] | undefined> {
    const { era, revision } = this.#position;
    if (asOf.era !== era || asOf.revision > revision) return undefined;
    const list = () =>
      this.#data.history.filter(
        (entry) => entry.key === key && entry.revision > asOf.revision,
      );
    if (list().length === 0) {
      await new Promise<void>((resolve) => {
        const finish = () => {
          clearTimeout(timer);
          this.#waiters.delete(check);
          resolve();
        };
        const check = () => {
          const isCut = this.#isAway || this.#position.era !== asOf.era;
          if (isCut || list().length > 0) finish();
        };
        const timer = setTimeout(finish, waitMs);
        this.#waiters.add(check);
      });
    }
    return list();
  }

  #write(change: Change): void {
    const revision = this.#data.revision + 1;
    const { config, runners, history } = this.#data;
    this.#data = {
      config: change.key === "config" ? change.text : config,
      runners:
        change.key === "runner" ? applyTo(runners, change.change) : runners,
      revision,
      history: [...history, { ...change, revision }],
    };
    this.#copies.push({ sinceMs: performance.now(), data: this.#data });
    this.#notify();
  }

  #notify(): void {
    for (const check of [...this.#waiters]) check();
  }
}

function failed(error: string) {
  return { ok: false, error } as const;
}

function applyTo(
  runners: Data["runners"],
  change: RunnerChange,
): Data["runners"] {
  const next = new Map(runners);
  if (change.type === "put") next.set(change.runner.runnerId, change.runner);
  else next.delete(change.runnerId);
  return next;
}
