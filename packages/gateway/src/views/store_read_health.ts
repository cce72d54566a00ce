import type { Logger } from "@jujubeladder/logger";
import { monotonicMs, setPatientTimeout } from "@jujubeladder/utils";

/** A shorter interruption is merely a reconnect and not an outage. */
const MIN_OUTAGE_MS = 1_000;
/** A call is overdue if it exceeds the requested wait by more than this. */
const RESPONSE_MARGIN_MS = 300;

/** Health of one kind of read from the store; logs its outages. */
export class StoreReadHealth {
  readonly #name: string;
  readonly #logger: Logger;
  readonly #onRecovered: () => void;
  #failingSinceMs: number | undefined;
  #failures = 0;
  #isOverdue = false;
  #stopTimer: () => void = () => undefined;

  constructor(
    name: string,
    options: { readonly logger: Logger; readonly onRecovered?: () => void },
  ) {
    this.#name = name;
    this.#logger = options.logger;
    this.#onRecovered = options.onRecovered ?? (() => undefined);
  }

  /** Number of consecutive failed calls. */
  get failures(): number {
    return this.#failures;
  }

  /** False while calls fail or one is overdue. */
  get isHealthy(): boolean {
    return this.#failingSinceMs === undefined && !this.#isOverdue;
  }

  /** Records the start of a call, which the store may hold for `waitMs`. */
  recordCall(waitMs: number): void {
    this.#endCall();
    this.#stopTimer = setPatientTimeout(() => {
      this.#isOverdue = true;
    }, waitMs + RESPONSE_MARGIN_MS);
  }

  recordFailure(reason: string): void {
    this.#endCall();
    this.#failures += 1;
    if (this.#failingSinceMs !== undefined) return;
    this.#failingSinceMs = monotonicMs();
    this.#logger.warn("store_lost", { read: this.#name, reason });
  }

  recordSuccess(): void {
    this.#endCall();
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
    if (outageMs >= MIN_OUTAGE_MS) this.#onRecovered();
  }

  #endCall(): void {
    this.#stopTimer();
    this.#isOverdue = false;
  }
}
