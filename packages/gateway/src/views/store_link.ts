import type { Logger } from "@jujubeladder/logger";
import { monotonicMs } from "@jujubeladder/utils";

/** An interruption shorter than this is a connection that was renewed. */
const OUTAGE_MS = 1_000;

/** Whether one kind of read from the store works, and since when not. */
export class StoreLink {
  readonly #name: string;
  readonly #logger: Logger;
  readonly #onRegained: () => void;
  #failingSinceMs: number | undefined;
  #failures = 0;

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

  noteFailure(reason: string): void {
    this.#failures += 1;
    if (this.#failingSinceMs !== undefined) return;
    this.#failingSinceMs = monotonicMs();
    this.#logger.warn("store_lost", { read: this.#name, reason });
  }

  noteSuccess(): void {
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
