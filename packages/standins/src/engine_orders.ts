import { request } from "undici";
import type { RunnerTarget } from "@jujubeladder/types";
import { sleep } from "@jujubeladder/utils";

const WEIGHT_RETRY_MS = 200;
const WEIGHT_LOAD_MS = 100;

type EngineState = Omit<RunnerTarget, "runnerId">;

/** Applies orders to the state of a stand-in engine and logs each. */
export class EngineOrders {
  readonly #isFenced: boolean;
  readonly #weightStoreUrl: string | undefined;
  readonly #log: { fence: number; atMs: number; isAccepted: boolean }[] = [];
  #fence = 0;
  #isLoading = false;
  #state: EngineState = {
    model: "base",
    version: "1",
    adapters: [],
    role: "decode",
  };

  constructor(isFenced: boolean, weightStoreUrl?: string) {
    this.#isFenced = isFenced;
    this.#weightStoreUrl = weightStoreUrl;
  }

  get fence(): number {
    return this.#fence;
  }

  get state(): EngineState {
    return this.#state;
  }

  get isLoading(): boolean {
    return this.#isLoading;
  }

  get log(): readonly unknown[] {
    return this.#log;
  }

  /**
   * Applies an order and returns the HTTP status. A fenced engine rejects
   * orders while it is busy and those with a fence lower than the last
   * applied one; an unfenced engine accepts every order and cancels all
   * its generations.
   */
  async apply(
    order: EngineState & { readonly fence: number },
    engine: { readonly isBusy: boolean; readonly cancelAll: () => void },
  ): Promise<200 | 409> {
    const isStale = order.fence < this.#fence;
    const isRejected = this.#isFenced && (isStale || engine.isBusy);
    const atMs = Date.now();
    this.#log.push({ fence: order.fence, atMs, isAccepted: !isRejected });
    if (isRejected) return 409;
    if (engine.isBusy) engine.cancelAll();
    this.#fence = order.fence;
    const { model, version, adapters, role } = order;
    const needsWeights =
      model !== this.#state.model || version !== this.#state.version;
    this.#state = { model, version, adapters, role };
    if (needsWeights) await this.#loadWeights();
    return 200;
  }

  async #loadWeights(): Promise<void> {
    if (this.#weightStoreUrl === undefined) return;
    this.#isLoading = true;
    const { model, version } = this.#state;
    const url = `${this.#weightStoreUrl}/v1/weights/${model}/${version}`;
    for (;;) {
      const response = await request(url).catch(() => undefined);
      await response?.body.dump();
      if (response?.statusCode === 200) break;
      await sleep(WEIGHT_RETRY_MS);
    }
    await sleep(WEIGHT_LOAD_MS);
    this.#isLoading = false;
  }
}
