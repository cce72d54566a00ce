import Emittery from "emittery";
import type { Logger } from "@jujubeladder/logger";
import { monotonicMs } from "@jujubeladder/utils";
import type { GatewayRunner } from "../model/gateway_runner.js";
import { toIncarnationId } from "../model/to_incarnation_id.js";

/**
 * After an outage, the store guarantees that live runners register again
 * within this time.
 */
const REREGISTRATION_GRACE_MS = 2_000;
/** Minimum time for which a runner stays marked as leaving. */
const LEAVING_RETENTION_MS = 60_000;

/** How it became known that a runner is leaving. */
type LeavingCause =
  "listed" | "removed" | "answer" | "refusal" | "order" | "report" | "peer";

/**
 * The known runners, and which of them are leaving. Once an incarnation of a
 * runner (one start of its process) is marked as leaving, whichever source
 * reported it, no update reverts that. The mark is retained for as long as the
 * incarnation is listed, and at least for `LEAVING_RETENTION_MS`.
 */
export class RunnerDirectory {
  readonly events = new Emittery<{
    leaving: GatewayRunner;
    changed: undefined;
  }>();
  readonly #logger: Logger;
  readonly #runners = new Map<string, GatewayRunner>();
  readonly #leavingSinceMs = new Map<string, number>();
  readonly #removalDueAtMs = new Map<string, number>();
  /** The runners of each service that may receive requests, once listed. */
  readonly #usable = new Map<string, readonly GatewayRunner[]>();
  #graceEndsAtMs = 0;

  constructor(logger: Logger) {
    this.#logger = logger;
  }

  get size(): number {
    return this.#runners.size;
  }

  find(runnerId: string): GatewayRunner | undefined {
    return this.#runners.get(runnerId);
  }

  /** True for a runner that is leaving or is not known. */
  isLeaving(runnerId: string): boolean {
    const runner = this.#runners.get(runnerId);
    return !runner || this.#leavingSinceMs.has(toIncarnationId(runner));
  }

  /** Lists the runners of a service that may receive requests. */
  listUsable(serviceId: string): readonly GatewayRunner[] {
    this.#removeOverdue();
    const listed = this.#usable.get(serviceId);
    if (listed) return listed;
    const usable = [...this.#runners.values()].filter(
      (runner) =>
        runner.serviceId === serviceId && !this.isLeaving(runner.runnerId),
    );
    // An unknown service may be one that no runner ever has.
    if (usable.length > 0) this.#usable.set(serviceId, usable);
    return usable;
  }

  /** Adds or updates a runner; entries of older incarnations are ignored. */
  put(runner: GatewayRunner): void {
    const known = this.#runners.get(runner.runnerId);
    // An update on an earlier incarnation may arrive late.
    if (known && known.startedAtMs > runner.startedAtMs) return;
    const isNew = known?.startedAtMs !== runner.startedAtMs;
    if (known && isNew) this.markLeaving(toIncarnationId(known), "removed");
    this.#removalDueAtMs.delete(runner.runnerId);
    this.#runners.set(runner.runnerId, runner);
    this.#usable.clear();
    if (runner.state === "leaving")
      this.markLeaving(toIncarnationId(runner), "listed");
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
   * Removes a runner that is no longer listed. Just after an outage of the
   * store its registration may merely have expired, so that it is kept for a
   * grace period in which it can register again.
   */
  remove(runnerId: string): void {
    const runner = this.#runners.get(runnerId);
    if (!runner) return;
    const nowMs = monotonicMs();
    if (nowMs < this.#graceEndsAtMs && !this.isLeaving(runnerId)) {
      if (!this.#removalDueAtMs.has(runnerId)) {
        this.#removalDueAtMs.set(runnerId, this.#graceEndsAtMs);
      }
      return;
    }
    this.markLeaving(toIncarnationId(runner), "removed");
    this.#runners.delete(runnerId);
    this.#usable.clear();
  }

  /** Replaces the whole list; runners that are not in it are removed. */
  replaceAll(runners: readonly GatewayRunner[]): void {
    const listed = new Set(runners.map(({ runnerId }) => runnerId));
    for (const runner of runners) this.put(runner);
    for (const runnerId of [...this.#runners.keys()]) {
      if (!listed.has(runnerId)) this.remove(runnerId);
    }
  }

  /**
   * Marks one incarnation of a runner as leaving; see `toIncarnationId`.
   * `ageMs` limits the age of the information, where it is known.
   */
  markLeaving(
    incarnationId: string,
    cause: LeavingCause,
    ageMs?: number,
  ): void {
    if (this.#leavingSinceMs.has(incarnationId)) return;
    const nowMs = monotonicMs();
    this.#leavingSinceMs.set(incarnationId, nowMs);
    this.#evictOldMarks(nowMs);
    this.#usable.clear();
    const runner = [...this.#runners.values()].find(
      (known) => toIncarnationId(known) === incarnationId,
    );
    this.#logger.info("runner_leaving", {
      runner: incarnationId,
      service: runner?.serviceId,
      cause,
      age_ms: ageMs,
    });
    if (runner) void this.events.emit("leaving", runner);
  }

  /** Starts the grace period for expired registrations after an outage. */
  startReregistrationGrace(): void {
    this.#graceEndsAtMs = monotonicMs() + REREGISTRATION_GRACE_MS;
  }

  #removeOverdue(): void {
    if (this.#removalDueAtMs.size === 0) return;
    const nowMs = monotonicMs();
    for (const [runnerId, dueAtMs] of this.#removalDueAtMs) {
      if (nowMs < dueAtMs) continue;
      this.#removalDueAtMs.delete(runnerId);
      const runner = this.#runners.get(runnerId);
      if (runner) this.markLeaving(toIncarnationId(runner), "removed");
      this.#runners.delete(runnerId);
      this.#usable.clear();
    }
  }

  #evictOldMarks(nowMs: number): void {
    const listed = new Set([...this.#runners.values()].map(toIncarnationId));
    for (const [incarnationId, sinceMs] of this.#leavingSinceMs) {
      if (nowMs - sinceMs < LEAVING_RETENTION_MS) return;
      // A stale list may still say that it is ready.
      if (listed.has(incarnationId)) continue;
      this.#leavingSinceMs.delete(incarnationId);
    }
  }
}
