import { monotonicMs } from "@jujubeladder/utils";
import { compareStorePositions } from "../model/compare_store_positions.js";
import { MAX_VIEW_AGE_MS } from "../model/max_view_age_ms.js";
import type { StorePosition } from "../model/store_position.js";

/** After an outage or a restore, live runners register again within this time. */
const REREGISTRATION_GRACE_MS = 2_000;

interface PendingRemoval {
  readonly dueAtMs: number;
  readonly asOf: StorePosition;
}

/** Removals that are put off for a grace, as the runners may register again. */
export class PendingRemovals {
  readonly #removals = new Map<string, PendingRemoval>();
  #graceEndsAtMs = 0;

  get isInGrace(): boolean {
    return monotonicMs() < this.#graceEndsAtMs;
  }

  /** True if an answer may still show the store as it was in the grace. */
  get isAnswerFromGrace(): boolean {
    return monotonicMs() < this.#graceEndsAtMs + MAX_VIEW_AGE_MS;
  }

  /** Starts the grace, also for the removals that are pending already. */
  startGrace(): void {
    this.#graceEndsAtMs = monotonicMs() + REREGISTRATION_GRACE_MS;
    for (const [runnerId, { asOf }] of this.#removals)
      this.#removals.set(runnerId, { dueAtMs: this.#graceEndsAtMs, asOf });
  }

  /** Puts a removal off until the grace ends that it began in. */
  putOff(runnerId: string, asOf: StorePosition): void {
    const { dueAtMs } = this.#removals.get(runnerId) ?? {
      dueAtMs: this.#graceEndsAtMs,
    };
    this.#removals.set(runnerId, { dueAtMs, asOf });
  }

  /** Cancels a removal if the runner is listed at that position or later. */
  cancelIfListed(runnerId: string, asOf: StorePosition): void {
    const removal = this.#removals.get(runnerId);
    if (removal && compareStorePositions(asOf, removal.asOf) >= 0)
      this.delete(runnerId);
  }

  delete(runnerId: string): void {
    this.#removals.delete(runnerId);
  }

  listOverdue(): readonly {
    readonly runnerId: string;
    readonly asOf: StorePosition;
  }[] {
    if (this.#removals.size === 0) return [];
    const nowMs = monotonicMs();
    return [...this.#removals]
      .filter(([, { dueAtMs }]) => nowMs >= dueAtMs)
      .map(([runnerId, { asOf }]) => ({ runnerId, asOf }));
  }
}
