import type { Logger } from "@jujubeladder/logger";
import { monotonicMs } from "@jujubeladder/utils";

/** An interruption shorter than this is a connection that was renewed. */
const OUTAGE_MS = 1_000;
/** An answer that is later than its wait by this much is not coming. */
const OVERDUE_MS = 300;

/** Whether one kind of read from the store works, and since when not. */
export class StoreLink {
  readonly #name: string;
  readonly #logger: Logger;
  readonly #onRegained: () => void;
  #failingSinceMs: number | undefined;
  #failures = 0;
  #dueAtMs = Number.POSITIVE_INFINITY;

  constructor(
    name: string,
    options: { readonly logger: Logger; readonly onRegained?: () => void },
  ) {
    this.#name = name;
    this.#logger = options.logger;
    this.#onRegained = options.onRegained ?? (() => undefined);
  }

  /** Failed calls since the last one that worked. */
  get failures(): number {
    return this.#failures;
  }

  /** False while calls fail, and once one is overdue. */
  get isAnswering(): boolean {
    return this.#failingSinceMs === undefined && monotonicMs() < this.#dueAtMs;
  }

  /** Notes that a call is made, which the store may keep waiting. */
  noteCall(waitMs: number): void {
    this.#dueAtMs = monotonicMs() + waitMs + OVERDUE_MS;
  }

  noteFailure(reason: string): void {
    this.#failures += 1;
    if (this.#failingSinceMs !== undefined) return;
    this.#failingSinceMs = monotonicMs();
    this.#logger.warn("store_lost", { read: this.#name, reason });
  }

  noteSuccess(): void {
    this.#dueAtMs = Number.POSITIVE_INFINITY;
    if (this.#failingSinceMs === undefined) return;
    const outageMs = monotonicMs() - this.#failingSinceMs;
    const failures = this.#failures;
    this.#failingSinceMs = undefined;
    this.#failures = 0;
    this.#logger.info("store_regained", {
      read: this.#name,
      outage_ms: outageMs,
      failures,
    });
    if (outageMs >= OUTAGE_MS) this.#onRegained();
  }
}
