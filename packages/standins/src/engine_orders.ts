import { request } from "undici";
import type { RunnerTarget } from "@jujubeladder/types";
import { sleep } from "@jujubeladder/utils";

const LOAD_RETRY_MS = 200;
const LOAD_MS = 100;

type EngineState = Omit<RunnerTarget, "runnerId">;

/** The orders a stand-in engine has taken. */
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
   * Takes an order. A fenced engine refuses old numbers and orders while it
   * is busy; an unfenced one obeys whatever comes.
   */
  async take(
    order: EngineState & { readonly fence: number },
    engine: { readonly isBusy: boolean; readonly cutAll: () => void },
  ): Promise<200 | 409> {
    const isOld = order.fence < this.#fence;
    const isRefused = this.#isFenced && (isOld || engine.isBusy);
    const atMs = Date.now();
    this.#log.push({ fence: order.fence, atMs, isAccepted: !isRefused });
    if (isRefused) return 409;
    if (engine.isBusy) engine.cutAll();
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
      const answer = await request(url).catch(() => undefined);
      await answer?.body.dump();
      if (answer?.statusCode === 200) break;
      await sleep(LOAD_RETRY_MS);
    }
    await sleep(LOAD_MS);
    this.#isLoading = false;
  }
}
