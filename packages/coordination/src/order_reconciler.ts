import type { Logger } from "@jujubeladder/logger";
import type {
  ConfigDocument,
  Result,
  RunnerLoad,
  RunnerTarget,
} from "@jujubeladder/types";
import { monotonicMs, rankByRendezvous, sleep } from "@jujubeladder/utils";
import { isTargetMet } from "./is_target_met.js";
import { OrderSchedule } from "./order_schedule.js";

const INTERVAL_MS = 50;
const IDLE_INTERVAL_MS = 250;
const MAX_LOAD_AGE_MS = 500;
const TAKEOVER_DELAY_MS = 3_000;

/** Inputs of the reconciler, and the call that sends an order. */
interface OrderReconcilerOptions {
  readonly instanceId: string;
  readonly logger: Logger;
  readonly document: () => ConfigDocument | undefined;
  readonly listAliveInstanceIds: () => readonly string[];
  readonly lastLoad: (runnerId: string) => RunnerLoad | undefined;
  readonly readLoad: (runnerId: string) => Promise<Result<RunnerLoad, string>>;
  readonly sendOrder: (
    target: RunnerTarget,
    fence: number,
  ) => Promise<Result<number, string>>;
}

/**
 * Reconciles runners with the targets of the newest configuration. An order
 * depends only on the document and carries the revision as its fencing token,
 * so that duplicate orders from two instances are identical.
 */
export class OrderReconciler {
  readonly #options: OrderReconcilerOptions;
  readonly #unmetSinceMs = new Map<string, number>();

  constructor(options: OrderReconcilerOptions) {
    this.#options = options;
  }

  /** True if a runner must take no new work until its order is applied. */
  isDraining(runnerId: string): boolean {
    const document = this.#options.document();
    if (!document) return false;
    const index = document.targets.findIndex(
      (target) => target.runnerId === runnerId,
    );
    const target = document.targets[index];
    const load = this.#options.lastLoad(runnerId);
    if (!target || !load || isTargetMet(load.state, target)) return false;
    return new OrderSchedule(document).hasBegun(index, Date.now());
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const document = this.#options.document();
      if (document) await this.#reconcileAll(document);
      const isIdle = this.#unmetSinceMs.size === 0;
      await sleep(isIdle ? IDLE_INTERVAL_MS : INTERVAL_MS, signal);
    }
  }

  async #reconcileAll(document: ConfigDocument): Promise<void> {
    const schedule = new OrderSchedule(document);
    const due = document.targets.filter(
      (target, index) =>
        this.#isUnmet(target) && schedule.isOpen(index, Date.now()),
    );
    await Promise.all(
      due.map(async (target) => this.#reconcile(target, document.revision)),
    );
  }

  #isUnmet(target: RunnerTarget): boolean {
    const load = this.#options.lastLoad(target.runnerId);
    const isUnmet = load !== undefined && !isTargetMet(load.state, target);
    if (!isUnmet) this.#unmetSinceMs.delete(target.runnerId);
    else if (!this.#unmetSinceMs.has(target.runnerId)) {
      this.#unmetSinceMs.set(target.runnerId, monotonicMs());
    }
    return isUnmet;
  }

  async #reconcile(target: RunnerTarget, revision: number): Promise<void> {
    if (!this.#isResponsible(target.runnerId)) return;
    const readStartedAtMs = monotonicMs();
    const load = await this.#options.readLoad(target.runnerId);
    if (!load.ok) return;
    const isBusy = load.value.runningStreams + load.value.waitingStreams > 0;
    if (isBusy || isTargetMet(load.value.state, target)) return;
    // Discard the load if it was requested too long ago, for example because
    // the process was paused, or if a newer document has arrived here or at the
    // runner.
    const isStale = monotonicMs() - readStartedAtMs > MAX_LOAD_AGE_MS;
    const isOutdated = this.#options.document()?.revision !== revision;
    if (isStale || isOutdated || load.value.fence > revision) return;
    const result = await this.#options.sendOrder(target, revision);
    this.#options.logger.info("order_sent", {
      runner: target.runnerId,
      fence: revision,
      model: target.model,
      version: target.version,
      role: target.role,
      status: result.ok ? result.value : result.error,
    });
  }

  // One instance per runner sends orders, to save messages. The instance of the
  // next rank takes over after a further delay if the target stays unmet.
  #isResponsible(runnerId: string): boolean {
    const ids = [
      this.#options.instanceId,
      ...this.#options.listAliveInstanceIds(),
    ];
    const rank = rankByRendezvous(runnerId, ids).indexOf(
      this.#options.instanceId,
    );
    const sinceMs = this.#unmetSinceMs.get(runnerId) ?? monotonicMs();
    return monotonicMs() - sinceMs >= rank * TAKEOVER_DELAY_MS;
  }
}
