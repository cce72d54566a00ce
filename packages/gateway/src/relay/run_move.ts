import type { Logger } from "@jujubeladder/logger";
import { monotonicMs, settleWithin } from "@jujubeladder/utils";
import { advanceMove } from "../decisions/advance_move.js";
import type { MoveEvent } from "../decisions/move_event.js";
import type { MoveState } from "../decisions/move_state.js";
import type { MoveStep } from "../decisions/move_step.js";
import type { EngineControl } from "../model/engine_control.js";
import type { GatewayRunner } from "../model/gateway_runner.js";

/** A copy that takes longer would outlast the notice that runners give. */
const COPY_TIMEOUT_MS = 4_000;
/** How long a broken stream waits for word that its run has stopped. */
const SETTLE_MS = 1_000;

type ChooseTarget = (refused: ReadonlySet<string>) => GatewayRunner | undefined;

/** Carries out the move of one run away from one runner. */
export class RunMove {
  readonly #source: GatewayRunner;
  readonly #requestId: string;
  readonly #control: EngineControl;
  readonly #chooseTarget: ChooseTarget;
  readonly #logger: Logger;
  readonly #refused = new Set<string>();
  #state: MoveState = { type: "resting" };
  #pending: Promise<void> | undefined;

  constructor(parts: {
    readonly source: GatewayRunner;
    readonly requestId: string;
    readonly control: EngineControl;
    readonly chooseTarget: ChooseTarget;
    readonly logger: Logger;
  }) {
    this.#source = parts.source;
    this.#requestId = parts.requestId;
    this.#control = parts.control;
    this.#chooseTarget = parts.chooseTarget;
    this.#logger = parts.logger;
  }

  /** The source leaves; the run must go elsewhere. */
  start(): void {
    if (this.#state.type !== "resting") return;
    const target = this.#chooseTarget(this.#refused);
    const order = this.#advance({ type: "source_leaves", target });
    this.#pending = this.#carryOut(order);
  }

  /** The run's stream ended early; returns where the run can go on. */
  async settleAfterBreak(): Promise<MoveState> {
    if (this.#pending) await settleWithin(this.#pending, SETTLE_MS);
    this.#advance({ type: "stream_broke", source: this.#source });
    return this.#state;
  }

  /** The run has ended, or its caller has left. */
  finish(): void {
    if (this.#state.type === "resting") return;
    this.#advance({ type: "run_ended" });
  }

  // Returns the order that the event calls for.
  #advance(event: MoveEvent): MoveStep["order"] {
    const step = advanceMove(this.#state, event);
    const isNewState = this.#state.type !== step.state.type;
    this.#state = step.state;
    if (isNewState) this.#log(step.state);
    return step.order;
  }

  async #carryOut(first: MoveStep["order"]): Promise<void> {
    for (let order = first; order;) {
      const { target, isFinal } = order;
      const startedAtMs = monotonicMs();
      const outcome = await this.#control.copyRun(this.#source, {
        requestId: this.#requestId,
        target,
        isFinal,
        timeoutMs: COPY_TIMEOUT_MS,
      });
      this.#logger.info("run_copy", {
        request: this.#requestId,
        source: this.#source.runnerId,
        target: target.runnerId,
        is_final: isFinal,
        outcome: outcome.type,
        took_ms: monotonicMs() - startedAtMs,
      });
      const isRefused = outcome.type === "refused";
      if (isRefused) this.#refused.add(target.runnerId);
      const nextTarget = isRefused
        ? this.#chooseTarget(this.#refused)
        : undefined;
      const source = this.#source;
      order = this.#advance({
        type: "copy_answered",
        source,
        outcome,
        nextTarget,
      });
    }
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
