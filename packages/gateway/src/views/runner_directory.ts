import Emittery from "emittery";
import type { Logger } from "@jujubeladder/logger";
import { monotonicMs } from "@jujubeladder/utils";
import { compareStorePositions } from "../model/compare_store_positions.js";
import type { GatewayRunner } from "../model/gateway_runner.js";
import type { LeavingEvidence } from "../model/leaving_evidence.js";
import type { LeavingSource } from "../model/leaving_source.js";
import type { RunnerAbsence } from "../model/runner_absence.js";
import type { RunnerPresence } from "../model/runner_presence.js";
import type { RunnerSighting } from "../model/runner_sighting.js";
import type { StorePosition } from "../model/store_position.js";
import { MAX_ERA_LATENESS_MS } from "../model/max_era_lateness_ms.js";
import { toIncarnationId } from "../model/to_incarnation_id.js";
import { describeLeavingEvidence } from "./describe_leaving_evidence.js";
import { DepartedRunners } from "./departed_runners.js";
import { LeavingMarks } from "./leaving_marks.js";
import { PendingRemovals } from "./pending_removals.js";

/**
 * The known runners, and which of them are leaving. Once an incarnation of a
 * runner (one start of its process) is stated to be leaving, by whichever
 * source, no update reverts that. An absence from the store's list makes it
 * unusable just as fast, until the store shows that it has registered since.
 */
export class RunnerDirectory {
  readonly events = new Emittery<{
    /** A runner is not usable any more. */
    leaving: GatewayRunner;
    /** An absence was withdrawn, so that the runner is usable again. */
    returned: GatewayRunner;
    /** An incarnation was listed for the first time, after the first list. */
    started: GatewayRunner;
    /** An incarnation was stated to be leaving; not by a peer. */
    stated: string;
    changed: undefined;
  }>();
  readonly #logger: Logger;
  readonly #onDropped: (runner: GatewayRunner) => void;
  readonly #runners = new Map<string, GatewayRunner>();
  /** The latest position at which the store showed each runner. */
  readonly #sightedAsOf = new Map<string, StorePosition>();
  readonly #marks = new LeavingMarks();
  readonly #pendingRemovals = new PendingRemovals();
  readonly #departed = new DepartedRunners();
  /** The runner that was listed last at each address. */
  readonly #byAddress = new Map<string, GatewayRunner>();
  /** The runners of each service that may receive requests, once listed. */
  readonly #usable = new Map<string, readonly GatewayRunner[]>();
  #era: number | undefined;
  #hasList = false;
  #eraSeenAtMs = 0;

  /** `onDropped` is called, at once, when an incarnation is listed no more. */
  constructor(
    logger: Logger,
    onDropped: (runner: GatewayRunner) => void = () => undefined,
  ) {
    this.#logger = logger;
    this.#onDropped = onDropped;
  }

  get size(): number {
    return this.#runners.size;
  }

  /** Lists all runners, also those that are leaving. */
  listAll(): Iterable<GatewayRunner> {
    return this.#runners.values();
  }

  find(runnerId: string): GatewayRunner | undefined {
    return this.#runners.get(runnerId);
  }

  /** True for a runner that is leaving or is not known. */
  isLeaving(runnerId: string): boolean {
    const runner = this.#runners.get(runnerId);
    return !runner || this.#marks.has(toIncarnationId(runner));
  }

  /** What the store's list shows of a runner's incarnation. */
  findPresence(runner: GatewayRunner): RunnerPresence {
    const { runnerId, startedAtMs } = runner;
    const successors = [
      this.#runners.get(runnerId),
      this.#byAddress.get(toAddress(runner)),
    ];
    // Without a time of its start, an entry may be the same incarnation's.
    const isReplaced =
      startedAtMs > 0 &&
      successors.some((known) => known && known.startedAtMs > startedAtMs);
    if (isReplaced) return "replaced";
    return this.#departed.has(toIncarnationId(runner)) ? "removed" : "unknown";
  }

  /** Lists the runners of a service that are leaving. */
  listLeaving(serviceId: string): readonly GatewayRunner[] {
    return [...this.#runners.values()].filter(
      (runner) =>
        runner.serviceId === serviceId && this.isLeaving(runner.runnerId),
    );
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

  /**
   * Adds or updates a runner by a change of the store, whose revision is at
   * most `asOf`; entries of older incarnations are ignored.
   */
  put(runner: GatewayRunner, asOf: StorePosition): void {
    this.#recordEra(asOf);
    this.#add(runner, { type: "change", asOf });
  }

  /**
   * Removes a runner that is no longer listed. Just after an outage or a restore
   * of the store its registration may merely have expired or been lost, so that
   * it is kept for a grace period in which it can register again.
   */
  remove(runnerId: string, asOf: StorePosition): void {
    this.#recordEra(asOf);
    this.#removeAbsent(runnerId, asOf);
  }

  /** Replaces the whole list; runners that are not in it are removed. */
  replaceAll(runners: readonly GatewayRunner[], asOf: StorePosition): void {
    this.#recordEra(asOf);
    for (const runner of runners) this.#add(runner, { type: "listing", asOf });
    // An entry of an earlier start does not list the known one.
    this.#hasList ||= runners.length > 0;
    const listed = new Set(runners.map(toIncarnationId));
    for (const runner of [...this.#runners.values()]) {
      if (!listed.has(toIncarnationId(runner)))
        this.#removeAbsent(runner.runnerId, asOf);
    }
    this.confirm(asOf);
    this.#marks.postponeAbsences(listed, asOf);
  }

  /** Records that the list holds at a position, after all changes up to it. */
  confirm(asOf: StorePosition): void {
    // In a grace, a runner that is missing may still register.
    if (this.#pendingRemovals.isAnswerFromGrace) return;
    this.#marks.confirmAbsences(asOf);
  }

  /**
   * Marks one incarnation of a runner as leaving; see `toIncarnationId`.
   * `ageMs` limits the age of the statement, where it is known.
   */
  markLeaving(
    incarnationId: string,
    source: LeavingSource,
    ageMs?: number,
  ): void {
    this.#mark(incarnationId, { type: "stated", source, ageMs });
  }

  /** Starts the grace period for expired registrations after an outage. */
  startReregistrationGrace(): void {
    this.#pendingRemovals.startGrace();
  }

  // A restored store lacks registrations, however short the outage seemed here.
  #recordEra({ era }: StorePosition): void {
    const nowMs = monotonicMs();
    const known = this.#era ?? era;
    const isLate =
      era < known && nowMs - this.#eraSeenAtMs <= MAX_ERA_LATENESS_MS;
    if (isLate) return;
    if (era > known) this.startReregistrationGrace();
    this.#era = era;
    this.#eraSeenAtMs = nowMs;
  }

  #add(runner: GatewayRunner, sighting: RunnerSighting): void {
    const { runnerId } = runner;
    const known = this.#runners.get(runnerId);
    // An update on an earlier incarnation may arrive late.
    if (known && known.startedAtMs > runner.startedAtMs) return;
    const isNew = known?.startedAtMs !== runner.startedAtMs;
    if (known && isNew) {
      this.markLeaving(toIncarnationId(known), "replaced");
      this.#onDropped(known);
    }
    if (isNew) this.#pendingRemovals.delete(runnerId);
    else this.#pendingRemovals.cancelIfListed(runnerId, sighting.asOf);
    if (known) this.#forgetAddress(known);
    this.#runners.set(runnerId, runner);
    this.#byAddress.set(toAddress(runner), runner);
    this.#departed.delete(toIncarnationId(runner));
    this.#recordSighting(runnerId, sighting.asOf);
    this.#usable.clear();
    if (isNew)
      this.#logger.info("runner_listed", {
        runner: runnerId,
        service: runner.serviceId,
        zone: runner.availabilityZone,
        software_version: runner.softwareVersion,
        state: runner.state,
      });
    if (runner.state === "leaving")
      this.markLeaving(toIncarnationId(runner), "listed");
    else this.#withdrawAbsence(runner, sighting);
    if (!isNew) return;
    if (this.#hasList) void this.events.emit("started", runner);
    void this.events.emit("changed");
  }

  #recordSighting(runnerId: string, asOf: StorePosition): void {
    const known = this.#sightedAsOf.get(runnerId);
    if (!known || compareStorePositions(asOf, known) > 0)
      this.#sightedAsOf.set(runnerId, asOf);
  }

  // A staler reader's list may lack a runner that has registered since. In a
  // store that tells no era, a lower revision may be the later one.
  #isSightedSince(runnerId: string, { era, revision }: StorePosition): boolean {
    const sighted = this.#sightedAsOf.get(runnerId);
    return era > 0 && sighted?.era === era && sighted.revision > revision;
  }

  #withdrawAbsence(runner: GatewayRunner, sighting: RunnerSighting): void {
    const incarnationId = toIncarnationId(runner);
    const absentAsOf = this.#marks.withdrawAbsence(incarnationId, sighting);
    if (!absentAsOf) return;
    this.#logger.info("runner_returned", {
      runner: incarnationId,
      service: runner.serviceId,
      by: sighting.type,
      era: sighting.asOf.era,
      revision: sighting.asOf.revision,
      absent_era: absentAsOf.era,
      absent_revision: absentAsOf.revision,
    });
    void this.events.emit("returned", runner);
  }

  #removeAbsent(runnerId: string, asOf: StorePosition): void {
    const runner = this.#runners.get(runnerId);
    if (!runner || this.#isSightedSince(runnerId, asOf)) return;
    const isKept = this.#pendingRemovals.isInGrace && !this.isLeaving(runnerId);
    if (isKept) this.#pendingRemovals.putOff(runnerId, asOf);
    else this.#drop(runner, { asOf, isConfirmed: true });
  }

  #removeOverdue(): void {
    for (const { runnerId, asOf } of this.#pendingRemovals.listOverdue()) {
      const runner = this.#runners.get(runnerId);
      if (!runner) continue;
      // One that this era has shown was removed in it, and not lost before.
      const isConfirmed = this.#sightedAsOf.get(runnerId)?.era === asOf.era;
      this.#drop(runner, { asOf, isConfirmed });
    }
  }

  #drop(runner: GatewayRunner, { asOf, isConfirmed }: RunnerAbsence): void {
    this.#pendingRemovals.delete(runner.runnerId);
    const incarnationId = toIncarnationId(runner);
    const era = this.#era ?? asOf.era;
    // Any list of this era is later than a late answer of an earlier one.
    const isLate = asOf.era < era && !this.#marks.has(incarnationId);
    this.#mark(incarnationId, {
      type: "absent",
      asOf: isLate ? { era, revision: 0 } : asOf,
      isConfirmed,
    });
    // After an outage, the entry of a live runner may have expired.
    if (runner.state === "leaving" && !this.#pendingRemovals.isInGrace)
      this.#departed.add(incarnationId);
    this.#runners.delete(runner.runnerId);
    this.#onDropped(runner);
    this.#forgetAddress(runner);
    this.#sightedAsOf.delete(runner.runnerId);
    this.#usable.clear();
  }

  #forgetAddress(runner: GatewayRunner): void {
    const address = toAddress(runner);
    if (this.#byAddress.get(address)?.runnerId === runner.runnerId)
      this.#byAddress.delete(address);
  }

  #mark(incarnationId: string, evidence: LeavingEvidence): void {
    const news = this.#marks.add(incarnationId, evidence);
    if (news === "known") return;
    const runners = [...this.#runners.values()];
    this.#marks.evictUnlisted(new Set(runners.map(toIncarnationId)));
    this.#usable.clear();
    const runner = runners.find(
      (known) => toIncarnationId(known) === incarnationId,
    );
    this.#logger.info("runner_leaving", {
      runner: incarnationId,
      service: runner?.serviceId,
      ...describeLeavingEvidence(evidence),
    });
    if (evidence.type === "stated" && evidence.source !== "peer")
      void this.events.emit("stated", incarnationId);
    if (runner && news === "new") void this.events.emit("leaving", runner);
  }
}

function toAddress({ host, port }: GatewayRunner): string {
  return `${host}:${port}`;
}
