import type { Logger } from "@jujubeladder/logger";
import { monotonicMs } from "@jujubeladder/utils";
import { MAX_ERA_LATENESS_MS } from "../model/max_era_lateness_ms.js";

/**
 * Keeps the store's era, which rises by each restore of the store. A peer may
 * hear of a restore first; what it claims counts until a read that was sent
 * after hearing of it shows the store's era.
 */
export class StoreEraTracker {
  readonly #logger: Pick<Logger, "info" | "warn">;
  #told: number | undefined;
  #toldAtMs = 0;
  /** When the told era was first heard of; unlimited if none is ever told. */
  #heardAtMs = Number.POSITIVE_INFINITY;
  #claimedAtMs = 0;
  #claimed: number | undefined;
  /** No more claims count then until the store tells another era. */
  #isClaimRefuted = false;

  constructor(logger: Pick<Logger, "info" | "warn">) {
    this.#logger = logger;
  }

  /** The latest era that the store has told; 0 before. */
  get told(): number {
    return this.#told ?? 0;
  }

  /** For how long the told era has been known, by a peer's claim or so. */
  get toldAgeMs(): number {
    return Math.max(0, monotonicMs() - this.#heardAtMs);
  }

  /** The greater era that a peer claims, if there is one. */
  get claimed(): number | undefined {
    return this.#claimed;
  }

  /** Positions of earlier eras than this are void. */
  get current(): number {
    return this.#claimed ?? this.told;
  }

  /** Records an era that a peer tells. */
  recordClaim(era: number, peerId: string): void {
    // Without an answer of the store there is no position to void.
    if (this.#told === undefined || this.#isClaimRefuted) return;
    if (!Number.isSafeInteger(era) || era <= this.current) return;
    this.#claimedAtMs = monotonicMs();
    if (this.#claimed === undefined) {
      this.#logger.info("store_era_claimed", {
        peer: peerId,
        era: this.#told,
        claimed_era: era,
      });
    }
    this.#claimed = era;
  }

  /**
   * Records the era that an answer of the store tells, if it does. An earlier
   * one than the known is that of an answer from before a restore.
   */
  recordAnswer(era: number | undefined): void {
    if (era === undefined) {
      if (this.#told === undefined) {
        this.#told = 0;
        this.#heardAtMs = Number.NEGATIVE_INFINITY;
      }
      return;
    }
    const nowMs = monotonicMs();
    const known = this.#told;
    if (known !== undefined && era < known) {
      if (nowMs - this.#toldAtMs <= MAX_ERA_LATENESS_MS) return;
      this.#logger.warn("store_era_lowered", { old_era: known, new_era: era });
    }
    this.#told = era;
    this.#toldAtMs = nowMs;
    if (era === known) return;
    this.#heardAtMs = this.#claimed === era ? this.#claimedAtMs : nowMs;
    this.#isClaimRefuted = false;
    if (this.#claimed !== undefined && this.#claimed <= era) {
      this.#claimed = undefined;
    }
    if (known !== undefined && era > known) {
      this.#logger.info("store_restored", { old_era: known, new_era: era });
    }
  }

  /** Takes back a claim that was known when an answered read was sent. */
  settleClaim(claimed: number | undefined): void {
    if (claimed === undefined || claimed <= this.told) return;
    if (this.#claimed === undefined) return;
    this.#logger.warn("store_era_claim_refuted", {
      era: this.told,
      claimed_era: this.#claimed,
    });
    this.#claimed = undefined;
    this.#isClaimRefuted = true;
  }
}
