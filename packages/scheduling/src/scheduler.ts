import { probit } from "simple-statistics";
import type { ObjectiveWeights, RunnerLoad } from "@jujubeladder/types";
import type { Admission } from "./admission.js";
import { choosePlacement } from "./choose_placement.js";
import { FairQueue } from "./fair_queue.js";
import { MemoryForecast } from "./memory_forecast.js";
import { SurvivalProfile } from "./survival_profile.js";
import { LengthModel } from "./length_model.js";
import type { PlacementDecision } from "./placement_decision.js";
import type { QueuedRequest } from "./queued_request.js";
import { RunnerState } from "./runner_state.js";
import type { SchedulingRequest } from "./scheduling_request.js";
import { PlacementRotation } from "./placement_rotation.js";
import { StreamLease } from "./stream_lease.js";

// Age up to which placements may be missing from load reports.
const UNREPORTED_WINDOW_MS = 750;
const MAX_QUEUED = 2_000;
const MIN_TEAM_QUEUED = 32;
const RETRY_AFTER_MS = 1_000;
const PROFILE_INTERVAL_MS = 200;

/** A runner from the instance list that accepts new requests. */
interface UsableRunner {
  readonly runnerId: string;
  readonly region: string;
}

/** A placement of this instance, used to estimate those of its peers. */
interface RecentPlacement {
  readonly atMs: number;
  readonly lease: StreamLease;
}

/** Queues, admits and places the generations of one service on one instance. */
export class Scheduler {
  readonly lengthModel = new LengthModel();
  readonly #queue = new FairQueue<QueuedRequest>();
  readonly #profile = new SurvivalProfile();
  readonly #runners = new Map<string, RunnerState>();
  readonly #recentPlacements: RecentPlacement[] = [];
  readonly #rotation = new PlacementRotation();
  readonly #wallClockMs: () => number;
  readonly #nowMs: () => number;
  readonly #random: () => number;
  readonly #region: string;
  #objective: ObjectiveWeights;
  #peerCount = 0;
  #profileUpdatedAtMs = 0;
  #usableRunners: readonly RunnerState[] = [];

  constructor(options: {
    readonly region: string;
    readonly objective: ObjectiveWeights;
    readonly nowMs: () => number;
    /** Wall clock, roughly synchronized between instances. */
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

  /** Sets the instances, including this one, that place on these runners. */
  setInstances(ownId: string, instanceIds: readonly string[]): void {
    this.#peerCount = instanceIds.filter((id) => id !== ownId).length;
    this.#rotation.setInstances(ownId, instanceIds);
  }

  /**
   * Sets the runners that accept new requests. The state of other runners is
   * kept while they have leases.
   */
  setUsableRunners(runners: readonly UsableRunner[]): void {
    this.#usableRunners = runners.map((runner) =>
      this.#findOrAddRunner(runner),
    );
    const usableIds = new Set(runners.map((runner) => runner.runnerId));
    for (const [runnerId, state] of this.#runners) {
      if (!usableIds.has(runnerId) && state.leases.size === 0) {
        this.#runners.delete(runnerId);
      }
    }
  }

  updateLoad(load: RunnerLoad): void {
    this.#runners.get(load.runnerId)?.updateLoad(load, this.#nowMs());
  }

  findRunnerState(runnerId: string): RunnerState | undefined {
    return this.#runners.get(runnerId);
  }

  /** Queues a request; calls back exactly once unless cancelled. */
  submit(
    request: SchedulingRequest,
    onAdmission: (admission: Admission) => void,
  ): void {
    const queuedAtMs = this.#nowMs();
    const costTokens =
      request.promptTokens + this.lengthModel.find(request).meanTokens;
    const item = { request, queuedAtMs, costTokens, onAdmission };
    const reason = this.#findRefusal(request);
    if (reason !== undefined) {
      this.#refuse(item, reason);
      return;
    }
    this.#queue.push(item);
    this.dispatchQueued();
  }

  /** Removes a queued request; false if it is not in the queue. */
  cancel(requestId: string): boolean {
    const removed = this.#queue.removeWhere(
      (item) => item.request.requestId === requestId,
    );
    return removed.length > 0;
  }

  /** Refuses requests past their queue timeout and places those that fit. */
  dispatchQueued(): void {
    const nowMs = this.#nowMs();
    this.#updateProfile(nowMs);
    const expired = this.#queue.removeWhere(
      ({ request, queuedAtMs }) =>
        nowMs - queuedAtMs > request.settings.queueTimeoutMs,
    );
    for (const item of expired) {
      this.#refuse(item, "no runner could take it in time");
    }
    this.#queue.drain((item) => this.#tryPlace(item), nowMs);
  }

  /** Computes the placement of a request without admitting it. */
  decide(request: SchedulingRequest): PlacementDecision {
    const wallClockMs = this.#wallClockMs();
    return choosePlacement(request, this.#usableRunners, {
      nowMs: this.#nowMs(),
      region: this.#region,
      objective: this.#objective,
      distribution: this.lengthModel.find(request),
      profile: this.#profile,
      standardDeviations: probit(request.settings.admissionQuantile),
      ...this.#estimatePeerPlacements(),
      random: this.#random,
      isOwnTurn: (runnerId) => this.#rotation.hasTurn(runnerId, wallClockMs),
    });
  }

  #updateProfile(nowMs: number): void {
    if (nowMs - this.#profileUpdatedAtMs < PROFILE_INTERVAL_MS) return;
    this.#profileUpdatedAtMs = nowMs;
    const leases = [...this.#runners.values()].flatMap((state) => [
      ...state.leases,
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
    const state = this.#runners.get(runnerId);
    if (!state) throw new Error(`Runner ${runnerId} has no state`);
    const startedAtMs = this.#nowMs();
    const lease: StreamLease = new StreamLease({
      distribution: this.lengthModel.find(item.request),
      promptTokens: item.request.promptTokens,
      startedAtMs,
      onRelease: () => {
        state.removeLease(lease);
        this.dispatchQueued();
      },
    });
    state.addLease(lease);
    this.#recentPlacements.push({ atMs: startedAtMs, lease });
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

  // Limits each team to a share of the queue. The load balancer spreads
  // callers evenly, so the limit holds across the fleet without coordination.
  #findRefusal(request: SchedulingRequest): string | undefined {
    if (this.#queue.size >= MAX_QUEUED) return "the queue is full";
    const allowed = Math.max(
      MIN_TEAM_QUEUED,
      request.settings.maxTeamShare * MAX_QUEUED,
    );
    return this.#queue.teamSize(request.teamId) >= allowed
      ? "the team's share of the queue is full"
      : undefined;
  }

  // Estimates recent placements of peers that load reports may not include yet.
  // Peers see the same load, so each is assumed to place at this instance's
  // rate, spread evenly over the usable runners.
  #estimatePeerPlacements(): {
    readonly unreportedPeerForecast: MemoryForecast;
    readonly unreportedPeerStreams: number;
  } {
    const sinceMs = this.#nowMs() - UNREPORTED_WINDOW_MS;
    const recent = this.#recentPlacements;
    while (recent[0] !== undefined && recent[0].atMs < sinceMs) recent.shift();
    const weight = this.#peerCount / Math.max(1, this.#usableRunners.length);
    const unreportedPeerForecast = new MemoryForecast();
    for (const { lease } of recent) {
      const { distribution, promptTokens } = lease;
      const stream = { contextTokens: promptTokens, producedTokens: 0 };
      unreportedPeerForecast.addStreams(distribution, {
        ...stream,
        count: weight,
      });
    }
    return {
      unreportedPeerForecast,
      unreportedPeerStreams: weight * recent.length,
    };
  }

  #findOrAddRunner(runner: UsableRunner): RunnerState {
    const known = this.#runners.get(runner.runnerId);
    if (known) return known;
    const state = new RunnerState(runner.runnerId, runner.region);
    this.#runners.set(runner.runnerId, state);
    return state;
  }
}
