import type { Logger } from "@jujubeladder/logger";
import { monotonicMs } from "@jujubeladder/utils";

/**
 * Answers may be late by less, as no call to the store takes longer. If the
 * store tells an earlier era for longer, the known one was an error.
 */
const MAX_LATENESS_MS = 3_000;

/** Keeps the store's era, which rises by each restore of the store. */
export class StoreEraTracker {
  readonly #logger: Pick<Logger, "info" | "warn">;
  #told: number | undefined;
  #toldAtMs = 0;

  constructor(logger: Pick<Logger, "info" | "warn">) {
    this.#logger = logger;
  }

  /** The latest era that the store has told; 0 before. */
  get told(): number {
    return this.#told ?? 0;
  }

  /**
   * Records the era that an answer of the store tells, if it does. An earlier
   * one than the known is that of an answer from before a restore.
   */
  recordAnswer(era: number | undefined): void {
    if (era === undefined) {
      this.#told ??= 0;
      return;
    }
    const nowMs = monotonicMs();
    const known = this.#told;
    if (known !== undefined && era < known) {
      if (nowMs - this.#toldAtMs <= MAX_LATENESS_MS) return;
      this.#logger.warn("store_era_lowered", { old_era: known, new_era: era });
    }
    this.#told = era;
    this.#toldAtMs = nowMs;
    if (known !== undefined && era > known) {
      this.#logger.info("store_restored", { old_era: known, new_era: era });
    }
  }
}
