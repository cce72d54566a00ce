import { setImmediate } from "node:timers/promises";
import type { Logger } from "@jujubeladder/logger";
import { monotonicMs, sleep } from "@jujubeladder/utils";

/**
 * A stopping instance accepts requests for at least this long: the load
 * balancer takes it out after two failed readiness checks, one second apart.
 */
const ACCEPTING_MS = 3_500;
/** The instance exits this long before the platform's forced kill. */
const EXIT_MARGIN_MS = 400;
/** Within that, time to send the final responses. */
const FLUSH_MS = 200;
/** The same margin for a process that was held up when the signal came. */
const HELD_UP_MARGIN_MS = FLUSH_MS + 50;
/** The instance exits early only if no request came for this long. */
const IDLE_MS = 300;
const POLL_INTERVAL_MS = 25;

/** The requests that a planned stop waits for. */
interface Requests {
  readonly activeCount: number;
  readonly sinceLastRequestMs: number;
  /** Gives up the requests in progress; returns how many are cut. */
  giveUpAll(): number;
}

/** Drains an instance's requests within the platform's grace period. */
export class PlannedStop {
  readonly #graceMs: number;
  readonly #logger: Logger;
  #exitAtMs: number | undefined;
  #drained: Promise<void> | undefined;

  /** `graceMs`: time between the stop signal and the forced kill. */
  constructor(graceMs: number, logger: Logger) {
    this.#graceMs = graceMs;
    this.#logger = logger;
  }

  /**
   * When the instance exits at the latest, on the monotonic clock; undefined
   * before the stop.
   */
  get exitAtMs(): number | undefined {
    return this.#exitAtMs;
  }

  /**
   * Starts the stop and resolves when the instance is to exit. Later calls join
   * the first one. `onStart` runs once `exitAtMs` is set. The grace may have
   * begun as early as `earliestSignalAtMs`.
   */
  async drain(
    requests: Requests,
    options: {
      readonly earliestSignalAtMs: number;
      readonly onStart: () => void;
    },
  ): Promise<void> {
    this.#drained ??= this.#drain(requests, options);
    await this.#drained;
  }

  async #drain(
    requests: Requests,
    {
      earliestSignalAtMs,
      onStart,
    }: {
      readonly earliestSignalAtMs: number;
      readonly onStart: () => void;
    },
  ): Promise<void> {
    const startedAtMs = monotonicMs();
    const exitAtMs = Math.min(
      startedAtMs + this.#graceMs - EXIT_MARGIN_MS,
      earliestSignalAtMs + this.#graceMs - HELD_UP_MARGIN_MS,
    );
    this.#exitAtMs = exitAtMs;
    this.#logger.info("stopping", {
      active: requests.activeCount,
      signal_waited_at_most_ms: startedAtMs - earliestSignalAtMs,
    });
    onStart();
    do {
      await sleep(POLL_INTERVAL_MS);
      // After a hold-up, timers run before the requests that have arrived
      // meanwhile are read.
      await setImmediate();
      const isAccepting = monotonicMs() - startedAtMs < ACCEPTING_MS;
      const isBusy =
        requests.activeCount > 0 || requests.sinceLastRequestMs < IDLE_MS;
      if (!isAccepting && !isBusy) break;
    } while (monotonicMs() < exitAtMs);
    const cut = requests.giveUpAll();
    const flushEndsAtMs = monotonicMs() + FLUSH_MS;
    while (requests.activeCount > 0 && monotonicMs() < flushEndsAtMs) {
      await sleep(POLL_INTERVAL_MS);
    }
    this.#logger.info("stopped", { cut });
  }
}
