import type { Logger } from "@jujubeladder/logger";
import { monotonicMs, settleWithin, sleep } from "@jujubeladder/utils";
import { advanceMove } from "../decisions/advance_move.js";
import type { MoveEvent } from "../decisions/move_event.js";
import type { MoveOrder } from "../decisions/move_order.js";
import type { MoveState } from "../decisions/move_state.js";
import type { EngineControl } from "../model/engine_control.js";
import type { GatewayRunner } from "../model/gateway_runner.js";

/** A copy that takes longer would outlast the notice that runners give. */
const COPY_TIMEOUT_MS = 4_000;
/** How long a broken stream waits for word that its run has stopped. */
const SETTLE_MS = 1_000;
/** Time that a run gets to begin before it is asked for again. */
const COPY_LATER_MS = 120;
/** Time in which a run may end at a target that had no room. */
const SEEK_LATER_MS = 200;
/** Time for the rest of the copies of all runs, through one link. */
const STOP_MARGIN_MS = 400;

const WAIT_STEP_MS = 50;

/** Where a run can go. */
interface MoveTargets {
  choose(refused: ReadonlySet<string>): GatewayRunner | undefined;
  /** Counts the copy as load of its target until the function is called. */
  hold(target: GatewayRunner): () => void;
}

/** Carries out the move of one run away from one runner. */
export class RunMove {
  readonly #source: GatewayRunner;
  readonly #requestId: string;
  readonly #control: EngineControl;
  readonly #targets: MoveTargets;
  readonly #logger: Logger;
  readonly #refused = new Set<string>();
  readonly #ended = new AbortController();
  #state: MoveState = { type: "resting" };
  #goneAtMs = Number.POSITIVE_INFINITY;
  #work: Promise<void> | undefined;
  #cut: () => void = () => undefined;
  #release: () => void = () => undefined;

  constructor(parts: {
    readonly source: GatewayRunner;
    readonly requestId: string;
    readonly control: EngineControl;
    readonly targets: MoveTargets;
    readonly logger: Logger;
  }) {
    this.#source = parts.source;
    this.#requestId = parts.requestId;
    this.#control = parts.control;
    this.#targets = parts.targets;
    this.#logger = parts.logger;
  }

  /** True while a copy exists or the run is being stopped. */
  get mayHaveStopped(): boolean {
    const { type } = this.#state;
    return type === "copied" || type === "stopping" || type === "stopped";
  }

  /** The source leaves and is gone at `goneAtMs`, on the monotonic clock. */
  start(goneAtMs: number): void {
    if (this.#state.type !== "resting") return;
    this.#goneAtMs = goneAtMs;
    const target = this.#targets.choose(this.#refused);
    const order = this.#advance({ type: "source_leaves", target });
    this.#work = this.#carryOut(order);
  }

  /** Corrects when the source will be gone. */
  setGoneAt(goneAtMs: number): void {
    this.#goneAtMs = goneAtMs;
  }

  /** Says how to break the stream from the source. */
  onCut(cut: () => void): void {
    this.#cut = cut;
  }

  /** The run's stream ended early; returns where the run can go on. */
  async settleAfterBreak(): Promise<MoveState> {
    const isStopping = this.#state.type === "stopping";
    if (this.#work && isStopping) await settleWithin(this.#work, SETTLE_MS);
    this.#advance({ type: "stream_broke" });
    this.#ended.abort();
    return this.#state;
  }

  /** The run has ended, or its caller has left. */
  finish(): void {
    this.#ended.abort();
    this.#release();
    const { type } = this.#state;
    if (type === "resting" || type === "stopped") return;
    const memory = "memory" in this.#state ? this.#state.memory : undefined;
    this.#advance({ type: "run_ended" });
    if (memory) void this.#control.dropCopy(this.#source, memory.handle);
  }

  // Returns the order that the event calls for.
  #advance(event: MoveEvent): MoveOrder | undefined {
    const step = advanceMove(this.#state, event);
    const isNewState = this.#state.type !== step.state.type;
    this.#state = step.state;
    if (isNewState) this.#log(step.state);
    return step.order;
  }

  async #carryOut(first: MoveOrder | undefined): Promise<void> {
    for (let order = first; order;) {
      if (this.#ended.signal.aborted) return;
      switch (order.type) {
        case "wait_to_stop":
          await this.#waitToStop();
          order = this.#advance({ type: "time_to_stop" });
          break;
        case "copy_later":
          await sleep(COPY_LATER_MS, this.#ended.signal);
          order = { type: "copy", target: order.target, isFinal: false };
          break;
        case "seek_later":
          await sleep(SEEK_LATER_MS, this.#ended.signal);
          this.#refused.clear();
          order = this.#advance({
            type: "target_sought",
            target: this.#targets.choose(this.#refused),
          });
          break;
        case "cut_source":
          this.#cut();
          return;
        case "copy":
          order = await this.#copy(order.target, order.isFinal);
          break;
      }
    }
  }

  async #waitToStop(): Promise<void> {
    const { signal } = this.#ended;
    for (;;) {
      const leftMs = this.#goneAtMs - STOP_MARGIN_MS - monotonicMs();
      if (leftMs <= 0 || signal.aborted) return;
      // The time may be corrected meanwhile.
      await sleep(Math.min(leftMs, WAIT_STEP_MS), signal);
    }
  }

  async #copy(
    target: GatewayRunner,
    isFinal: boolean,
  ): Promise<MoveOrder | undefined> {
    const source = this.#source;
    const startedAtMs = monotonicMs();
    this.#release();
    this.#release = this.#targets.hold(target);
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
    if (isRefused) this.#refused.add(target.runnerId);
    const nextTarget = isRefused
      ? this.#targets.choose(this.#refused)
      : undefined;
    return this.#advance({
      type: "copy_answered",
      source,
      outcome,
      nextTarget,
    });
  }

  #log(state: MoveState): void {
    this.#logger.info("run_move", {
      request: this.#requestId,
      source: this.#source.runnerId,
      state: state.type,
      target: "target" in state ? state.target.runnerId : undefined,
      runner: state.type === "stopped" ? state.runner.runnerId : undefined,
      reason: state.type === "given_up" ? state.reason : undefined,
    });
  }
}
