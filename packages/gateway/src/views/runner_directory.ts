import Emittery from "emittery";
import type { Logger } from "@jujubeladder/logger";
import { monotonicMs } from "@jujubeladder/utils";
import type { GatewayRunner } from "../model/gateway_runner.js";
import { toLifeId } from "../model/to_life_id.js";

/** Servers that live register again within this time; the store's promise. */
const LAPSE_GRACE_MS = 2_000;
/** How long word of a runner's leaving is kept after it is gone. */
const GONE_KEPT_MS = 60_000;

/** Why a runner gets no more requests. */
type LeavingCause = "listed" | "removed" | "answer" | "peer" | "report";

/**
 * Runners by service, and which of them leave. Leaving is never taken back
 * for one start of a runner, whoever said it first.
 */
export class RunnerDirectory {
  readonly events = new Emittery<{
    leaving: GatewayRunner;
    changed: undefined;
  }>();
  readonly #logger: Logger;
  readonly #runners = new Map<string, GatewayRunner>();
  readonly #leavingSinceMs = new Map<string, number>();
  readonly #lapsedAtMs = new Map<string, number>();
  #graceUntilMs = 0;

  constructor(logger: Logger) {
    this.#logger = logger;
  }

  get size(): number {
    return this.#runners.size;
  }

  find(runnerId: string): GatewayRunner | undefined {
    return this.#runners.get(runnerId);
  }

  /** True for a runner that leaves, and for one that is not known. */
  isLeaving(runnerId: string): boolean {
    const runner = this.#runners.get(runnerId);
    return !runner || this.#leavingSinceMs.has(toLifeId(runner));
  }

  /** Runners that may be sent requests. */
  listUsable(serviceId: string): readonly GatewayRunner[] {
    this.#expireLapsed();
    return [...this.#runners.values()].filter(
      (runner) =>
        runner.serviceId === serviceId && !this.isLeaving(runner.runnerId),
    );
  }

  put(runner: GatewayRunner): void {
    const known = this.#runners.get(runner.runnerId);
    // Word of an earlier life may arrive late.
    if (known && known.startedAtMs > runner.startedAtMs) return;
    const isNew = known?.startedAtMs !== runner.startedAtMs;
    if (known && isNew) this.noteLeaving(toLifeId(known), "removed");
    this.#lapsedAtMs.delete(runner.runnerId);
    this.#runners.set(runner.runnerId, runner);
    if (runner.state === "leaving")
      this.noteLeaving(toLifeId(runner), "listed");
    if (!isNew) return;
    this.#logger.info("runner_listed", {
      runner: runner.runnerId,
      service: runner.serviceId,
      zone: runner.availabilityZone,
      state: runner.state,
    });
    void this.events.emit("changed");
  }

  /**
   * Notes that a runner is no longer listed. Just after the list came back,
   * its entry may only have lapsed; it then has some time to return.
   */
  remove(runnerId: string): void {
    const runner = this.#runners.get(runnerId);
    if (!runner) return;
    const nowMs = monotonicMs();
    if (nowMs < this.#graceUntilMs && !this.isLeaving(runnerId)) {
      if (!this.#lapsedAtMs.has(runnerId)) {
        this.#lapsedAtMs.set(runnerId, this.#graceUntilMs);
      }
      return;
    }
    this.noteLeaving(toLifeId(runner), "removed");
    this.#runners.delete(runnerId);
  }

  /** Replaces the whole list. */
  replaceAll(runners: readonly GatewayRunner[]): void {
    const listed = new Set(runners.map(({ runnerId }) => runnerId));
    for (const runner of runners) this.put(runner);
    for (const runnerId of [...this.#runners.keys()]) {
      if (!listed.has(runnerId)) this.remove(runnerId);
    }
  }

  /** Notes that one life of a runner leaves; see `toLifeId`. */
  noteLeaving(lifeId: string, cause: LeavingCause): void {
    if (this.#leavingSinceMs.has(lifeId)) return;
    const nowMs = monotonicMs();
    this.#leavingSinceMs.set(lifeId, nowMs);
    this.#forgetGone(nowMs);
    const runner = [...this.#runners.values()].find(
      (known) => toLifeId(known) === lifeId,
    );
    this.#logger.info("runner_leaving", {
      runner: lifeId,
      service: runner?.serviceId,
      cause,
    });
    if (runner) void this.events.emit("leaving", runner);
  }

  /** The list can be read again after it could not. */
  noteListRegained(): void {
    this.#graceUntilMs = monotonicMs() + LAPSE_GRACE_MS;
  }

  #expireLapsed(): void {
    if (this.#lapsedAtMs.size === 0) return;
    const nowMs = monotonicMs();
    for (const [runnerId, atMs] of this.#lapsedAtMs) {
      if (nowMs < atMs) continue;
      this.#lapsedAtMs.delete(runnerId);
      const runner = this.#runners.get(runnerId);
      if (runner) this.noteLeaving(toLifeId(runner), "removed");
      this.#runners.delete(runnerId);
    }
  }

  #forgetGone(nowMs: number): void {
    for (const [lifeId, sinceMs] of this.#leavingSinceMs) {
      if (nowMs - sinceMs < GONE_KEPT_MS) return;
      this.#leavingSinceMs.delete(lifeId);
    }
  }
}
