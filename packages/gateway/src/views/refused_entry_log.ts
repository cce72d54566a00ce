import type { Logger } from "@jujubeladder/logger";
import { monotonicMs } from "@jujubeladder/utils";

const INTERVAL_MS = 60_000;
/** Limit for the lines of one interval, whatever number of entries is odd. */
const MAX_LINES = 20;
const MAX_KEY_LENGTH = 200;

type RefusalEvent =
  "runner_entry_refused" | "peer_refused" | "store_era_refused";

/**
 * Logs entries that others wrote and that are left out: a line for each key and
 * reason in an interval, as an odd entry may be read again and again.
 */
export class RefusedEntryLog {
  readonly #logger: Pick<Logger, "warn">;
  readonly #event: RefusalEvent;
  readonly #reasons = new Map<string, string>();
  #intervalEndsAtMs = 0;
  #unloggedCount = 0;

  constructor(logger: Pick<Logger, "warn">, event: RefusalEvent) {
    this.#logger = logger;
    this.#event = event;
  }

  record(key: string, reason: string): void {
    const nowMs = monotonicMs();
    if (nowMs >= this.#intervalEndsAtMs) {
      this.#intervalEndsAtMs = nowMs + INTERVAL_MS;
      this.#reasons.clear();
    }
    const shortKey = key.slice(0, MAX_KEY_LENGTH);
    if (this.#reasons.get(shortKey) === reason) return;
    if (this.#reasons.size >= MAX_LINES) {
      this.#unloggedCount += 1;
      return;
    }
    this.#reasons.set(shortKey, reason);
    this.#logger.warn(this.#event, {
      key: shortKey,
      reason,
      unlogged: this.#unloggedCount,
    });
    this.#unloggedCount = 0;
  }
}
