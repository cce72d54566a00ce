import { sleep } from "@jujubeladder/utils";
import type { GatewayRunner } from "../../model/gateway_runner.js";
import { createRunner } from "../create_runner.js";
import type { ModelStore } from "./model_store.js";

/** Writers notice a restore, and write again, within this time. */
const MAX_REWRITE_MS = 2_000;

type State = "live" | "draining" | "gone";

/** The operator and the runners, which write to the store of a model. */
export class ModelWriters {
  /** Versions with the time of their first acknowledgement. */
  readonly acknowledged: { readonly version: number; readonly atMs: number }[] =
    [];
  readonly #runners = new Map<
    string,
    { readonly runner: GatewayRunner; readonly state: State }
  >();
  readonly #store: ModelStore;
  readonly #random: () => number;
  #config = "";
  #version = 0;
  #runnerCount = 0;

  constructor(store: ModelStore, random: () => number) {
    this.#store = store;
    this.#random = random;
  }

  get version(): number {
    return this.#version;
  }

  listRunners(): readonly {
    readonly runner: GatewayRunner;
    readonly state: State;
  }[] {
    return [...this.#runners.values()];
  }

  /** The operator publishes the next version, once the store is there. */
  async publish(): Promise<void> {
    await this.#waitForStore();
    this.#version += 1;
    this.#config = JSON.stringify({ version: this.#version });
    this.#store.putConfig(this.#config);
    this.acknowledged.push({ version: this.#version, atMs: performance.now() });
  }

  async addRunner(): Promise<void> {
    await this.#waitForStore();
    this.#runnerCount += 1;
    const runner = createRunner(`runner-${this.#runnerCount}`);
    this.#runners.set(runner.runnerId, { runner, state: "live" });
    this.#store.putRunner(runner);
  }

  /** A random live runner says that it leaves, and is gone `goneMs` later. */
  async drainRunner(goneMs: number): Promise<void> {
    await this.#waitForStore();
    const live = this.listRunners().filter(({ state }) => state === "live");
    const picked = live[Math.floor(this.#random() * live.length)];
    if (!picked) return;
    const runner = { ...picked.runner, state: "leaving" } as const;
    const { runnerId } = runner;
    this.#runners.set(runnerId, { runner, state: "draining" });
    this.#store.putRunner(runner);
    await sleep(goneMs);
    await this.#waitForStore();
    this.#runners.set(runnerId, { runner, state: "gone" });
    this.#store.removeRunner(runnerId);
  }

  /** After a restore, each writer writes again what it wrote last. */
  rewrite(): void {
    void this.#rewrite(() => {
      this.#store.putConfig(this.#config);
    });
    for (const { runner } of this.listRunners()) {
      void this.#rewrite(() => {
        const now = this.#runners.get(runner.runnerId);
        if (!now) return;
        if (now.state === "gone") this.#store.removeRunner(runner.runnerId);
        else this.#store.putRunner(now.runner);
      });
    }
  }

  async #rewrite(write: () => void): Promise<void> {
    await sleep(this.#random() * MAX_REWRITE_MS);
    await this.#waitForStore();
    write();
  }

  async #waitForStore(): Promise<void> {
    while (this.#store.isAway) await sleep(20);
  }
}
