import { probit } from "simple-statistics";
import type { ObjectiveWeights, RunnerLoad } from "@jujubeladder/types";
import type { Admission } from "./admission.js";
import { choosePlacement } from "./choose_placement.js";
import { FairQueue } from "./fair_queue.js";
import { GrowthCurve } from "./growth_curve.js";
import { GrowthProfile } from "./growth_profile.js";
import { LengthModel } from "./length_model.js";
import type { PlacementDecision } from "./placement_decision.js";
import type { QueuedRequest } from "./queued_request.js";
import { RunnerBook } from "./runner_book.js";
import type { SchedulingRequest } from "./scheduling_request.js";
import { TurnTable } from "./turn_table.js";
import { StreamLease } from "./stream_lease.js";

const REPORT_WINDOW_MS = 750;
const MAX_QUEUED = 2_000;
const MIN_TEAM_QUEUE = 32;
const RETRY_AFTER_MS = 1_000;
const OBSERVE_INTERVAL_MS = 200;

/** A runner that may be used, as the instance list shows it. */
interface UsableRunner {
  readonly runnerId: string;
  readonly region: string;
}

/** A placement that peers' equal placements are judged by. */
interface RecentPlacement {
  readonly atMs: number;
  readonly lease: StreamLease;
}

/** Admits and places the generations of one service at one instance. */
export class Scheduler {
  readonly lengths = new LengthModel();
  readonly #queue = new FairQueue<QueuedRequest>();
  readonly #profile = new GrowthProfile();
  readonly #books = new Map<string, RunnerBook>();
  readonly #recent: RecentPlacement[] = [];
  readonly #turns = new TurnTable();
  readonly #wallClockMs: () => number;
  readonly #nowMs: () => number;
  readonly #random: () => number;
  readonly #region: string;
  #objective: ObjectiveWeights;
  #peerCount = 0;
  #observedAtMs = 0;
  #usable: readonly RunnerBook[] = [];

  constructor(options: {
    readonly region: string;
    readonly objective: ObjectiveWeights;
    readonly nowMs: () => number;
    /** Wall clock, shared with other instances as far as clocks agree. */
    readonly wallClockMs: () => number;
    readonly random: () => number;
  }) {
    this.#wallClockMs = options.wallClockMs;
    this.#region = options.region;
    this.#objective = options.objective;
    this.#nowMs = options.nowMs;
    this.#random = options.random;
  }

  get queueSize(): number {
    return this.#queue.size;
  }

  setObjective(objective: ObjectiveWeights): void {
    this.#objective = objective;
  }

  /** Sets the instances, this one among them, that place here. */
  setInstances(ownId: string, instanceIds: readonly string[]): void {
    this.#peerCount = instanceIds.filter((id) => id !== ownId).length;
    this.#turns.setInstances(ownId, instanceIds);
  }

  /** Sets which runners may take new work. */
  setUsableRunners(runners: readonly UsableRunner[]): void {
    this.#usable = runners.map((runner) => this.#findOrAddBook(runner));
    const usableIds = new Set(runners.map((runner) => runner.runnerId));
    for (const [runnerId, book] of this.#books) {
      if (!usableIds.has(runnerId) && book.leases.size === 0) {
        this.#books.delete(runnerId);
      }
    }
  }

  updateLoad(load: RunnerLoad): void {
    this.#books.get(load.runnerId)?.updateLoad(load, this.#nowMs());
  }

  findBook(runnerId: string): RunnerBook | undefined {
    return this.#books.get(runnerId);
  }

  /** Queues a request; the callback gets the one answer. */
  submit(
    request: SchedulingRequest,
    onAdmission: (admission: Admission) => void,
  ): void {
    const queuedAtMs = this.#nowMs();
    const costTokens =
      request.promptTokens + this.lengths.find(request).meanTokens;
    const item = { request, queuedAtMs, costTokens, onAdmission };
    const reason = this.#findRefusal(request);
    if (reason !== undefined) {
      this.#refuse(item, reason);
      return;
    }
    this.#queue.push(item);
    this.pump();
  }

  /** Gives up a request that still waits; false when it was answered. */
  withdraw(requestId: string): boolean {
    const removed = this.#queue.removeWhere(
      (item) => item.request.requestId === requestId,
    );
    return removed.length > 0;
  }

  /** Places what fits now and refuses what has waited too long. */
  pump(): void {
    const nowMs = this.#nowMs();
    this.#observe(nowMs);
    const expired = this.#queue.removeWhere(
      ({ request, queuedAtMs }) =>
        nowMs - queuedAtMs > request.settings.queueTimeoutMs,
    );
    for (const item of expired) {
      this.#refuse(item, "no runner could take it in time");
    }
    this.#queue.drain((item) => this.#tryPlace(item), nowMs);
  }

  /** Says where a request would go now, without sending it. */
  decide(request: SchedulingRequest): PlacementDecision {
    const wallClockMs = this.#wallClockMs();
    return choosePlacement(request, this.#usable, {
      nowMs: this.#nowMs(),
      region: this.#region,
      objective: this.#objective,
      distribution: this.lengths.find(request),
      profile: this.#profile,
      deviations: probit(request.settings.admissionQuantile),
      ...this.#estimateUnseen(),
      random: this.#random,
      isOwnTurn: (runnerId) => this.#turns.isOwn(runnerId, wallClockMs),
    });
  }

  #observe(nowMs: number): void {
    if (nowMs - this.#observedAtMs < OBSERVE_INTERVAL_MS) return;
    this.#observedAtMs = nowMs;
    const leases = [...this.#books.values()].flatMap((book) => [
      ...book.leases,
    ]);
    this.#profile.observe(leases);
  }

  #tryPlace(item: QueuedRequest): boolean {
    const decision = this.decide(item.request);
    switch (decision.type) {
      case "held":
        return false;
      case "placed":
        this.#admit(item, decision);
        return true;
    }
  }

  #admit(
    item: QueuedRequest,
    decision: PlacementDecision & { readonly type: "placed" },
  ): void {
    const { runnerId, candidates, figures } = decision;
    const book = this.#books.get(runnerId);
    if (!book) throw new Error(`Runner ${runnerId} has no book`);
    const startedAtMs = this.#nowMs();
    const lease: StreamLease = new StreamLease({
      distribution: this.lengths.find(item.request),
      promptTokens: item.request.promptTokens,
      startedAtMs,
      onRelease: () => {
        book.removeLease(lease);
        this.pump();
      },
    });
    book.addLease(lease);
    this.#recent.push({ atMs: startedAtMs, lease });
    const queuedMs = startedAtMs - item.queuedAtMs;
    item.onAdmission({
      type: "admitted",
      runnerId,
      lease,
      queuedMs,
      candidates,
      figures,
    });
  }

  #refuse(item: QueuedRequest, reason: string): void {
    item.onAdmission({
      type: "refused",
      reason,
      queuedMs: this.#nowMs() - item.queuedAtMs,
      retryAfterMs: RETRY_AFTER_MS,
    });
  }

  // A team may fill its share of the queue. The balancer spreads callers
  // evenly, so the share holds over the fleet without messages.
  #findRefusal(request: SchedulingRequest): string | undefined {
    if (this.#queue.size >= MAX_QUEUED) return "the queue is full";
    const allowed = Math.max(
      MIN_TEAM_QUEUE,
      request.settings.maxTeamShare * MAX_QUEUED,
    );
    return this.#queue.teamSize(request.teamId) >= allowed
      ? "the team's share of the queue is full"
      : undefined;
  }

  // Peers see the same load, so they are taken to place as fast as this
  // instance did since the reports were made, spread over all runners.
  #estimateUnseen(): {
    readonly unseen: GrowthCurve;
    readonly unseenStreams: number;
  } {
    const sinceMs = this.#nowMs() - REPORT_WINDOW_MS;
    const recent = this.#recent;
    while (recent[0] !== undefined && recent[0].atMs < sinceMs) recent.shift();
    const weight = this.#peerCount / Math.max(1, this.#usable.length);
    const unseen = new GrowthCurve();
    for (const { lease } of recent) {
      const { distribution, promptTokens } = lease;
      const stream = { contextTokens: promptTokens, producedTokens: 0 };
      unseen.addStreams(distribution, { ...stream, count: weight });
    }
    return { unseen, unseenStreams: weight * recent.length };
  }

  #findOrAddBook(runner: UsableRunner): RunnerBook {
    const known = this.#books.get(runner.runnerId);
    if (known) return known;
    const book = new RunnerBook(runner.runnerId, runner.region);
    this.#books.set(runner.runnerId, book);
    return book;
  }
}
