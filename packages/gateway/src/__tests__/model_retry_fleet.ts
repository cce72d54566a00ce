import type { ModelClock } from "./model_clock.js";
import { MODEL_LIMITS } from "./model_limits.js";
import { ModelRetryInstance } from "./model_retry_instance.js";
import { drawSample } from "./draw_sample.js";
import type { RetryDay } from "./retry_day.js";
import type { RetryDesign } from "./retry_design.js";

const MAX_RESTART_DELAY_MS = 2_000;
const GRACE_MS = 8_000;
/** Until a fresh instance has talked to a peer. */
const FIRST_EXCHANGE_MS = 1_500;
/** The least part of an instance's requests beside that of another. */
const MIN_WEIGHT = 0.1;

/** The instances of the retry model, which end, start and learn of the others. */
export class ModelRetryFleet {
  readonly #instances: ModelRetryInstance[] = [];
  readonly #day: RetryDay;
  readonly #design: RetryDesign;
  readonly #clock: ModelClock;
  readonly #random: () => number;
  #peakSize: number;

  constructor(
    day: RetryDay,
    options: {
      readonly design: RetryDesign;
      readonly clock: ModelClock;
      readonly random: () => number;
    },
  ) {
    this.#day = day;
    this.#design = options.design;
    this.#clock = options.clock;
    this.#random = options.random;
    this.#peakSize = day.instanceCount;
    for (let index = 0; index < day.instanceCount; index += 1)
      this.#start({ isFirstStart: true, fleetSize: day.instanceCount });
  }

  get hasBudgetLeft(): boolean {
    return this.#instances.some(({ left }) => left > 0);
  }

  /** Picks the instance that gets a request; shares are uneven. */
  pick(): ModelRetryInstance | undefined {
    const taking = this.#instances.filter((one) => one.takesRequests);
    const total = taking.reduce((sum, { weight }) => sum + weight, 0);
    let point = this.#random() * total;
    return taking.find(({ weight }) => (point -= weight) < 0);
  }

  #start(options: {
    readonly isFirstStart: boolean;
    readonly fleetSize: number | undefined;
    readonly weight?: number;
  }): ModelRetryInstance {
    const weight = MIN_WEIGHT - Math.log(1 - this.#random());
    const instance = new ModelRetryInstance({
      weight,
      ...options,
      limits: { ...MODEL_LIMITS, fleetSlack: this.#day.fleetSlack },
      design: this.#design,
      clock: this.#clock,
    });
    this.#instances.push(instance);
    return instance;
  }

  #end(instance: ModelRetryInstance): void {
    instance.isAlive = false;
    instance.takesRequests = false;
    this.#instances.splice(this.#instances.indexOf(instance), 1);
  }

  /** Ends a share of the instances, which start anew. */
  restart(share: number, kind: "kill" | "roll"): void {
    const count = Math.round(share * this.#instances.length);
    for (const instance of drawSample(this.#instances, count, this.#random)) {
      instance.takesRequests = false;
      this.#clock.schedule(kind === "kill" ? 0 : GRACE_MS, () => {
        if (!instance.isAlive) return;
        this.#end(instance);
        this.#clock.schedule(this.#random() * MAX_RESTART_DELAY_MS, () => {
          const { weight } = instance;
          this.#tellSize(
            this.#start({ isFirstStart: false, fleetSize: undefined, weight }),
            FIRST_EXCHANGE_MS,
          );
        });
      });
    }
  }

  /** Grows or shrinks the fleet to this factor of its first size. */
  resize(factor: number): void {
    const target = Math.round(this.#day.instanceCount * factor);
    const current = this.#instances.length;
    for (const instance of drawSample(
      this.#instances,
      current - target,
      this.#random,
    ))
      this.#end(instance);
    for (let n = current; n < target; n += 1)
      this.#start({ isFirstStart: false, fleetSize: undefined });
    if (this.#instances.length <= this.#peakSize) return;
    this.#peakSize = this.#instances.length;
    for (const instance of this.#instances) this.#tellSize(instance);
  }

  // A size that is told never falls.
  #tellSize(
    instance: ModelRetryInstance,
    maxLagMs = this.#day.sizeLagMs,
  ): void {
    const size = this.#peakSize;
    this.#clock.schedule(this.#random() * maxLagMs, () => {
      instance.fleetSize = Math.max(instance.fleetSize ?? 0, size);
    });
  }
}
