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
const MAX_READ_AGE_MS = 500;
const STAND_IN_DELAY_MS = 3_000;

/** What the keeper reads and whom it sends to. */
interface OrderKeeperParts {
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
 * Brings runners into the state that the newest configuration wants. An
 * order follows from the document alone and carries its revision as fence,
 * so that two instances that both send it send the same.
 */
export class OrderKeeper {
  readonly #parts: OrderKeeperParts;
  readonly #unmetSinceMs = new Map<string, number>();

  constructor(parts: OrderKeeperParts) {
    this.#parts = parts;
  }

  /** True when a runner must take no new work before its order. */
  isDraining(runnerId: string): boolean {
    const document = this.#parts.document();
    if (!document) return false;
    const index = document.targets.findIndex(
      (target) => target.runnerId === runnerId,
    );
    const target = document.targets[index];
    const load = this.#parts.lastLoad(runnerId);
    if (!target || !load || isTargetMet(load.state, target)) return false;
    return new OrderSchedule(document).hasBegun(index, Date.now());
  }

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const document = this.#parts.document();
      if (document) await this.#visitAll(document);
      const isIdle = this.#unmetSinceMs.size === 0;
      await sleep(isIdle ? IDLE_INTERVAL_MS : INTERVAL_MS, signal);
    }
  }

  async #visitAll(document: ConfigDocument): Promise<void> {
    const schedule = new OrderSchedule(document);
    const due = document.targets.filter(
      (target, index) =>
        this.#isUnmet(target) && schedule.isOpen(index, Date.now()),
    );
    await Promise.all(
      due.map(async (target) => this.#visit(target, document.revision)),
    );
  }

  #isUnmet(target: RunnerTarget): boolean {
    const load = this.#parts.lastLoad(target.runnerId);
    const isUnmet = load !== undefined && !isTargetMet(load.state, target);
    if (!isUnmet) this.#unmetSinceMs.delete(target.runnerId);
    else if (!this.#unmetSinceMs.has(target.runnerId)) {
      this.#unmetSinceMs.set(target.runnerId, monotonicMs());
    }
    return isUnmet;
  }

  async #visit(target: RunnerTarget, revision: number): Promise<void> {
    if (!this.#isTurn(target.runnerId)) return;
    const readAtMs = monotonicMs();
    const load = await this.#parts.readLoad(target.runnerId);
    if (!load.ok) return;
    const isBusy = load.value.runningStreams + load.value.waitingStreams > 0;
    if (isBusy || isTargetMet(load.value.state, target)) return;
    // A pause since the reading, or a newer document, makes it worthless.
    const isStale = monotonicMs() - readAtMs > MAX_READ_AGE_MS;
    const isOutdated = this.#parts.document()?.revision !== revision;
    if (isStale || isOutdated || load.value.fence > revision) return;
    const answer = await this.#parts.sendOrder(target, revision);
    this.#parts.logger.info("order_sent", {
      runner: target.runnerId,
      fence: revision,
      model: target.model,
      version: target.version,
      role: target.role,
      status: answer.ok ? answer.value : answer.error,
    });
  }

  // One instance is chosen to save messages; the next stands in for it
  // when the order stays unmet.
  #isTurn(runnerId: string): boolean {
    const ids = [this.#parts.instanceId, ...this.#parts.listAliveInstanceIds()];
    const rank = rankByRendezvous(runnerId, ids).indexOf(
      this.#parts.instanceId,
    );
    const sinceMs = this.#unmetSinceMs.get(runnerId) ?? monotonicMs();
    return monotonicMs() - sinceMs >= rank * STAND_IN_DELAY_MS;
  }
}
