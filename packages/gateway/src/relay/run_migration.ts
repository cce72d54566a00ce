import type { Logger } from "@jujubeladder/logger";
import { monotonicMs, sleep } from "@jujubeladder/utils";
import { advanceMigration } from "../decisions/advance_migration.js";
import type { RetryBooking } from "../decisions/retry_booking.js";
import type { MigrationEvent } from "../decisions/migration_event.js";
import type { MigrationAction } from "../decisions/migration_action.js";
import type { MigrationState } from "../decisions/migration_state.js";
import type { EngineControl } from "../model/engine_control.js";
import type { GatewayRunner } from "../model/gateway_runner.js";
import type { RunnerPresence } from "../model/runner_presence.js";
import { EndSignal } from "./end_signal.js";

/** A longer copy would outlast the notice that a leaving runner gives. */
const COPY_TIMEOUT_MS = 4_000;
/** Delay before a copy is retried for a run that has not started yet. */
const COPY_RETRY_DELAY_MS = 120;
/** Interval at which a source that has not confirmed a stop is looked up. */
const SOURCE_POLL_INTERVAL_MS = 50;
/**
 * How long a stopped run's stream may stay open: events in flight need a round
 * trip between regions, and the caller waits meanwhile.
 */
const STREAM_END_TIMEOUT_MS = 250;
/** Delay before targets are searched again; runs there may end meanwhile. */
const TARGET_RETRY_DELAY_MS = 200;
/** Reserve for the final copies of all runs, which share one link. */
const STOP_MARGIN_MS = 400;

const STOP_POLL_INTERVAL_MS = 50;

/** Runners that a run can migrate to. */
interface MigrationTargets {
  /** Chooses a runner other than those that refused a copy. */
  choose(refusedRunnerIds: ReadonlySet<string>): GatewayRunner | undefined;
  /** Counts the copy as load on its target; returns the release function. */
  reserve(target: GatewayRunner): () => void;
}

/** Migrates one run away from a runner that is leaving. */
export class RunMigration {
  readonly #source: GatewayRunner;
  readonly #requestId: string;
  readonly #control: EngineControl;
  readonly #targets: MigrationTargets;
  readonly #bookResumption: () => RetryBooking | undefined;
  readonly #findPresence: () => RunnerPresence;
  readonly #logger: Logger;
  readonly #refusedRunnerIds = new Set<string>();
  /** Handles of the copies that may still occupy memory. */
  readonly #handles = new Set<string>();
  readonly #ended = new EndSignal();
  /** Set when the source's stream has ended. */
  readonly #streamEnded = new EndSignal();
  /** Set when the source is known to have stopped the run, or never will be. */
  readonly #confirmed = new EndSignal();
  #state: MigrationState = { type: "idle" };
  #booking: RetryBooking | undefined;
  #isResuming = false;
  #sourceExitAtMs = Number.POSITIVE_INFINITY;
  /** When the source has exited by its own word. */
  #statedExitAtMs = Number.POSITIVE_INFINITY;
  #task: Promise<void> | undefined;
  #closeSource: () => void = () => undefined;
  #releaseTarget: () => void = () => undefined;

  constructor(dependencies: {
    readonly source: GatewayRunner;
    readonly requestId: string;
    readonly control: EngineControl;
    readonly targets: MigrationTargets;
    /** Undefined while the retry budget does not allow a resumption. */
    readonly bookResumption: () => RetryBooking | undefined;
    readonly findPresence: () => RunnerPresence;
    readonly logger: Logger;
  }) {
    this.#source = dependencies.source;
    this.#requestId = dependencies.requestId;
    this.#control = dependencies.control;
    this.#targets = dependencies.targets;
    this.#bookResumption = dependencies.bookResumption;
    this.#findPresence = dependencies.findPresence;
    this.#logger = dependencies.logger;
  }

  /** True once a first copy exists, as the source may then stop the run. */
  get mayHaveStopped(): boolean {
    const { type } = this.#state;
    return type === "copied" || type === "stopping" || type === "stopped";
  }

  /**
   * Starts the migration; the source is expected to exit at `exitAtMs`, on the
   * monotonic clock.
   */
  start(exitAtMs: number): void {
    if (this.#ended.hasEnded) return;
    // A source may return after a move was given up, and leave later.
    if (this.#state.type === "given_up") this.#state = { type: "idle" };
    if (this.#state.type !== "idle") return;
    this.#sourceExitAtMs = exitAtMs;
    this.#refusedRunnerIds.clear();
    const target = this.#targets.choose(this.#refusedRunnerIds);
    const action = this.#advance({ type: "source_leaves", target });
    this.#task = this.#execute(action);
  }

  /**
   * Updates the time at which the source will exit by its own word, on the
   * monotonic clock. It may be as early as `earliestMs` if its word is old.
   */
  setSourceExit(exit: {
    readonly earliestMs: number;
    readonly latestMs: number;
  }): void {
    this.#sourceExitAtMs = exit.earliestMs;
    this.#statedExitAtMs = exit.latestMs;
  }

  /** Sets the function that closes the stream from the source. */
  onCloseSource(close: () => void): void {
    this.#closeSource = close;
  }

  /**
   * Called when the run's stream ended early. Waits until it is known that the
   * run has stopped, at most `maxWaitMs` or until `signal` aborts. Returns the
   * resulting state, which holds the runner on which the run resumes, if there
   * is one.
   */
  async resolveAfterBreak(
    maxWaitMs: number,
    signal?: AbortSignal,
  ): Promise<MigrationState> {
    const brokeAtMs = monotonicMs();
    const onAbort = () => {
      this.#confirmed.end();
    };
    signal?.addEventListener("abort", onAbort, { once: true });
    if (signal?.aborted) onAbort();
    this.#streamEnded.end();
    const action = this.#advance({ type: "stream_broke" }, brokeAtMs);
    if (action) this.#task = this.#execute(action);
    while (this.#state.type === "confirming" && !this.#confirmed.hasEnded) {
      const nowMs = monotonicMs();
      const leftMs = brokeAtMs + maxWaitMs - nowMs;
      if (leftMs <= 0) break;
      const isPastExit = nowMs >= this.#statedExitAtMs;
      const signs = { presence: this.#findPresence(), isPastExit };
      this.#advance({ type: "source_seen", signs }, brokeAtMs);
      const stepMs = Math.min(SOURCE_POLL_INTERVAL_MS, leftMs);
      await sleep(stepMs, this.#confirmed.signal);
    }
    signal?.removeEventListener("abort", onAbort);
    this.#advance({ type: "confirm_timed_out" }, brokeAtMs);
    this.#ended.end();
    this.#isResuming = this.#state.type === "stopped";
    return this.#state;
  }

  /** Passes on the budget for the attempt with which the run resumes. */
  takeBooking(): RetryBooking | undefined {
    const booking = this.#booking;
    this.#booking = undefined;
    return booking;
  }

  /** Ends the migration after the run ended or its caller disconnected. */
  finish(): void {
    this.#ended.end();
    this.#streamEnded.end();
    this.#releaseTarget();
    this.takeBooking()?.release();
    if (this.#state.type !== "idle") this.#advance({ type: "run_ended" });
    this.#dropUnusedCopies();
  }

  // Applies an event and returns the next action, if any.
  #advance(
    event: MigrationEvent,
    atMs = monotonicMs(),
  ): MigrationAction | undefined {
    const before = this.#state;
    const step = advanceMigration(before, event);
    this.#state = step.state;
    const hasChanged = before.type !== step.state.type;
    if (hasChanged && before.type === "confirming") this.#confirmed.end();
    if (hasChanged) this.#log(step.state, atMs);
    return step.action;
  }

  async #execute(first: MigrationAction | undefined): Promise<void> {
    for (let action = first; action;) {
      if (this.#ended.hasEnded) return;
      switch (action.type) {
        case "wait_to_stop":
          await this.#waitForStopTime();
          if (this.#ended.hasEnded) return;
          action = this.#advance({ type: "time_to_stop" });
          break;
        case "copy_later":
          await sleep(COPY_RETRY_DELAY_MS, this.#ended.signal);
          action = { type: "copy", target: action.target, isFinal: false };
          break;
        case "copy_final_later":
          await sleep(action.pauseMs, this.#ended.signal);
          action = { type: "copy", target: action.target, isFinal: true };
          break;
        case "find_target_later":
          await sleep(TARGET_RETRY_DELAY_MS, this.#ended.signal);
          this.#refusedRunnerIds.clear();
          action = this.#advance({
            type: "target_search_done",
            target: this.#targets.choose(this.#refusedRunnerIds),
          });
          break;
        case "await_stream_end":
          await sleep(STREAM_END_TIMEOUT_MS, this.#streamEnded.signal);
          if (!this.#streamEnded.hasEnded) this.#closeSource();
          return;
        case "copy":
          action = await this.#copy(action.target, action.isFinal);
          break;
      }
    }
  }

  // Books as early as can be, so that retries during the notice leave the budget.
  // Without it the run is better off where it is, until its source exits.
  async #waitForStopTime(): Promise<void> {
    while (!this.#ended.hasEnded) {
      this.#booking ??= this.#bookResumption();
      const leftMs = this.#sourceExitAtMs - STOP_MARGIN_MS - monotonicMs();
      if (leftMs <= 0 && this.#booking) return;
      // Sleeps in short steps because `setSourceExitAt` may change the time, and
      // budget may come free.
      const stepMs = leftMs > 0 ? leftMs : STOP_POLL_INTERVAL_MS;
      await sleep(Math.min(stepMs, STOP_POLL_INTERVAL_MS), this.#ended.signal);
    }
  }

  async #copy(
    target: GatewayRunner,
    isFinal: boolean,
  ): Promise<MigrationAction | undefined> {
    const source = this.#source;
    const startedAtMs = monotonicMs();
    this.#releaseTarget();
    this.#releaseTarget = this.#targets.reserve(target);
    const outcome = await this.#control.copyRun(source, {
      requestId: this.#requestId,
      target,
      isFinal,
      timeoutMs: COPY_TIMEOUT_MS,
    });
    this.#logger.info("run_copy", {
      request: this.#requestId,
      source: source.runnerId,
      target: target.runnerId,
      is_final: isFinal,
      outcome: outcome.type,
      took_ms: monotonicMs() - startedAtMs,
    });
    const isRefused = outcome.type === "refused";
    if (isRefused) this.#refusedRunnerIds.add(target.runnerId);
    const nextTarget = isRefused
      ? this.#targets.choose(this.#refusedRunnerIds)
      : undefined;
    const action = this.#advance({
      type: "copy_answered",
      source,
      outcome,
      nextTarget,
    });
    if ("handle" in outcome && outcome.handle !== undefined)
      this.#handles.add(outcome.handle);
    // The answer may come after the run has ended.
    if (this.#ended.hasEnded) this.#dropUnusedCopies();
    return action;
  }

  #dropUnusedCopies(): void {
    if (this.#isResuming) return;
    const { host, port } = this.#source;
    for (const handle of this.#handles)
      void this.#control.dropCopy({ host, port, handle });
    this.#handles.clear();
  }

  #log(state: MigrationState, sinceMs: number): void {
    this.#logger.info("run_move", {
      request: this.#requestId,
      source: this.#source.runnerId,
      state: state.type,
      target: "target" in state ? state.target.runnerId : undefined,
      runner: state.type === "stopped" ? state.runner.runnerId : undefined,
      proof: state.type === "stopped" ? state.proof : undefined,
      proof_age_ms:
        state.type === "stopped" ? monotonicMs() - sinceMs : undefined,
      reason: state.type === "given_up" ? state.reason : undefined,
    });
  }
}
