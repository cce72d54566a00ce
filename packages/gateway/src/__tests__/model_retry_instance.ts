import { FleetRetryBudget } from "../decisions/fleet_retry_budget.js";
import type { RetryBooking } from "../decisions/retry_booking.js";
import type { RetryKind } from "../decisions/retry_kind.js";
import type { ModelClock } from "./model_clock.js";
import type { RetryDesign } from "./retry_design.js";

const SERVICE = "s";
/** As in `GatewayInstance`. */
const MIN_FLEET_SIZE = 10;

interface RetryLimits {
  readonly ratio: number;
  readonly fleetSlack: number;
  readonly windowMs: number;
}

/** One life of an instance of the retry model. */
export class ModelRetryInstance {
  /** Its share of the requests, in proportion to those of the others. */
  readonly weight: number;
  isAlive = true;
  takesRequests = true;
  /** As gossip has told it; undefined before that. */
  fleetSize: number | undefined;
  readonly #budget: FleetRetryBudget;
  readonly #design: RetryDesign;
  readonly #clock: ModelClock;
  readonly #windowMs: number;
  /** Resumptions beyond the budget. */
  readonly #overdrawnAtMs: number[] = [];

  constructor(options: {
    readonly weight: number;
    readonly fleetSize: number | undefined;
    readonly isFirstStart: boolean;
    readonly limits: RetryLimits;
    readonly design: RetryDesign;
    readonly clock: ModelClock;
  }) {
    this.weight = options.weight;
    this.fleetSize = options.fleetSize;
    this.#design = options.design;
    this.#clock = options.clock;
    this.#windowMs = options.limits.windowMs;
    this.#budget = new FleetRetryBudget(
      options.limits,
      () =>
        this.fleetSize === undefined
          ? undefined
          : Math.max(MIN_FLEET_SIZE, this.fleetSize),
      {
        isFirstStart: options.isFirstStart,
        readClockMs: () => options.clock.nowMs,
      },
    );
  }

  recordRequest(): void {
    this.#budget.recordRequest(SERVICE);
  }

  /** What the budget would still allow. */
  get left(): number {
    const { spent, allowed } = this.#budget.getUse(SERVICE);
    const sinceMs = this.#clock.nowMs - this.#windowMs;
    const overdrawn = this.#overdrawnAtMs.filter((atMs) => atMs >= sinceMs);
    return Math.max(0, Math.floor(allowed - spent - overdrawn.length));
  }

  book(kind: RetryKind): RetryBooking | undefined {
    const isWithinShare = this.left > 0;
    switch (this.#design) {
      case "reserve, early":
      case "reserve":
        return this.#budget.book(SERVICE, kind);
      case "no reserve":
        return isWithinShare ? this.#bookAny() : undefined;
      case "resumptions always":
        if (isWithinShare) return this.#bookAny();
        return kind === "resumption" ? this.#overdraw() : undefined;
    }
  }

  // Resumptions may use the whole share.
  #bookAny(): RetryBooking | undefined {
    return this.#budget.book(SERVICE, "resumption");
  }

  #overdraw(): RetryBooking {
    return {
      recordSent: () => {
        this.#overdrawnAtMs.push(this.#clock.nowMs);
      },
      release: () => undefined,
    };
  }
}
