import { monotonicMs } from "@jujubeladder/utils";
import { computeFirstTokenLimitMs } from "../decisions/compute_first_token_limit_ms.js";
import type { PlacementContext } from "../decisions/placement_context.js";
import { scoreCandidate } from "../decisions/score_candidate.js";
import { PrefillRates } from "../decisions/prefill_rates.js";
import { addLoads } from "../decisions/add_loads.js";
import { estimatePeakTokens } from "../decisions/estimate_peak_tokens.js";
import { PendingGrants } from "../decisions/pending_grants.js";
import { isSameSoftware } from "../decisions/is_same_software.js";
import { chooseRunner } from "../decisions/choose_runner.js";
import type { LoadTracker } from "../decisions/load_tracker.js";
import type { OutlierScores } from "../decisions/outlier_scores.js";
import { Placement } from "../decisions/placement.js";
import type { PlacementChoice } from "../decisions/placement_choice.js";
import { SMALL_FLEET_MAX_INSTANCES } from "../decisions/small_fleet_max_instances.js";
import type { RunnerCandidate } from "../decisions/runner_candidate.js";
import type { AllowedRegions } from "../model/allowed_regions.js";
import type { RoutedService } from "../model/routed_service.js";
import type { GenerationWork } from "../model/generation_work.js";
import type { GatewayRunner } from "../model/gateway_runner.js";
import type { PlacementQuestion } from "../model/placement_question.js";
import type { RunnerLoad } from "../model/runner_load.js";
import type { RunnerDirectory } from "../views/runner_directory.js";
import type { LoadExchange } from "../mesh/load_exchange.js";
import type { RatePermits } from "../mesh/rate_permits.js";
import type { RunnerPauses } from "../views/runner_pauses.js";
import type {
  ExplainedRunner,
  PlacementExplanation,
} from "./placement_explanation.js";
import type { PlacementRules } from "./placement_rules.js";
import { ServiceQueues } from "./service_queues.js";

/** How often the queue is dispatched when no placement is released. */
const DISPATCH_INTERVAL_MS = 25;
/** Every dispatch would cost the collectors a tenth of a small core. */
const QUEUE_REFRESH_INTERVAL_MS = 200;
/** Pause of a queued request whose placement was not granted. */
const CONFIRMATION_PAUSE_MS = 100;
/** Runners that are asked for before a request waits. */
const MAX_CONFIRMED_CHOICES = 3;

/** What a request requires of a runner. */
interface PlacementRequirements {
  readonly service: RoutedService;
  readonly teamId: string;
  readonly work?: GenerationWork | undefined;
  readonly isUrgent: boolean;
  /** When its latency target ends, on the monotonic clock. */
  readonly targetAtMs?: number | undefined;
  /** The shortest latency target of the streams of its service. */
  readonly shortestTargetMs?: number | undefined;
  readonly excludedRunnerIds: ReadonlySet<string>;
  /** The only one of which a runner may be; any if absent. */
  readonly softwareVersion?: string | undefined;
  /** Asked anew for each choice, as the configuration may change. */
  readonly findAllowedRegions: () => AllowedRegions;
}

type Permits = Pick<
  RatePermits,
  "isLimited" | "findOpenMs" | "claim" | "release" | "acquire"
>;
type Exchange = Pick<LoadExchange, "refresh" | "scheduleReport" | "confirm">;

interface QueuedRequest {
  readonly request: {
    readonly teamId: string;
    readonly teamWeight: number;
    readonly isShort: boolean;
  };
  readonly queuedAtMs: number;
  readonly costTokens: number;
  readonly requirements: PlacementRequirements;
  /** When it stops waiting. */
  readonly waitEndsAtMs: number;
  readonly deadlineAtMs: number;
  readonly settle: (choice: PlacementChoice) => void;
  /** Its placement is being confirmed, or was refused just before this time. */
  isConfirming: boolean;
  nextConfirmationAtMs: number;
}

/**
 * Places requests on runners. Requests that find no capacity wait in a queue
 * that is fair between teams.
 */
export class PlacementScheduler {
  readonly #directory: RunnerDirectory;
  readonly #pauses: RunnerPauses;
  readonly #permits: Permits;
  readonly #rules: PlacementRules;
  readonly #loadTracker: LoadTracker;
  readonly #outliers: OutlierScores;
  readonly #location: {
    readonly availabilityZone: string;
    readonly region: string;
  };
  readonly #countInstances: () => number;
  readonly #prefillRates = new PrefillRates();
  #refreshedForQueueAtMs = Number.NEGATIVE_INFINITY;
  readonly #grants = new PendingGrants();
  readonly #queue = new ServiceQueues<QueuedRequest>();
  readonly #loadExchange: Exchange | undefined;
  #timer: NodeJS.Timeout | undefined;

  constructor(dependencies: {
    readonly directory: RunnerDirectory;
    readonly pauses: RunnerPauses;
    readonly permits: Permits;
    readonly rules: PlacementRules;
    readonly loadTracker: LoadTracker;
    readonly outliers: OutlierScores;
    readonly location: {
      readonly availabilityZone: string;
      readonly region: string;
    };
    readonly countInstances: () => number;
    /** Absent where no other instance places requests. */
    readonly loadExchange?: Exchange;
  }) {
    this.#loadExchange = dependencies.loadExchange;
    this.#countInstances = dependencies.countInstances;
    this.#directory = dependencies.directory;
    this.#pauses = dependencies.pauses;
    this.#permits = dependencies.permits;
    this.#rules = dependencies.rules;
    this.#loadTracker = dependencies.loadTracker;
    this.#outliers = dependencies.outliers;
    this.#location = dependencies.location;
  }

  /** Number of requests in the queue. */
  get queuedCount(): number {
    return this.#queue.size;
  }

  /** Chooses a runner without waiting. */
  chooseNow(requirements: PlacementRequirements): PlacementChoice {
    const candidates = this.listCandidates(requirements);
    if (candidates.length === 0) {
      if (!this.#hasSoftware(requirements)) return { type: "no_software" };
      if (!this.#isAllowedAnywhere(requirements))
        return { type: "not_allowed" };
      if (this.#arePaused(requirements)) return { type: "all_paused" };
      const opensInMs = this.#findPermitMs(requirements);
      if (opensInMs !== undefined) return { type: "all_limited", opensInMs };
    }
    return chooseRunner(candidates, this.#createContext(requirements));
  }

  /** Explains the choice that `chooseNow` would make. */
  explain(requirements: PlacementRequirements): PlacementExplanation {
    const { service, findAllowedRegions, work } = requirements;
    const { serviceId } = service;
    const context = this.#createContext(requirements);
    const allowedRegions = findAllowedRegions();
    const promptTokens = work?.promptTokens ?? 0;
    const explained = [
      ...this.#directory.listUsable(serviceId),
      ...this.#directory.listLeaving(serviceId),
    ].map((runner): ExplainedRunner => {
      const { runnerId, availabilityZone, region, softwareVersion } = runner;
      const load = this.#loadTracker.getLoad(runnerId);
      const failureShare = this.#outliers.getFailureShare(runnerId);
      const candidate = { runner, load, failureShare };
      const reason = this.#directory.isLeaving(runnerId)
        ? "leaving"
        : (this.#rules.findBar(runner, allowedRegions) ??
          (this.#pauses.isPaused(runner)
            ? "paused"
            : this.#permits.findOpenMs(runner) > 0
              ? "limited"
              : !this.#rules.hasTurn(runner, service)
                ? "cold"
                : !this.#rules.keepsPace(candidate, service, promptTokens)
                  ? "warming_up"
                  : undefined));
      const score = reason ? undefined : scoreCandidate(candidate, context);
      return {
        runnerId,
        availabilityZone,
        region,
        softwareVersion,
        load,
        failureShare,
        verdict:
          score === undefined
            ? { type: "excluded", reason: reason ?? "full" }
            : { type: "candidate", score },
      };
    });
    return {
      choice: this.chooseNow(requirements),
      runners: explained.sort((a, b) => scoreOf(a) - scoreOf(b)),
      queuedCount: this.queuedCount,
      knowsFleetLoads: this.#loadTracker.knowsFleet,
    };
  }

  /** True for a runner that limits the rate of all instances. */
  isLimited(runner: GatewayRunner): boolean {
    return this.#permits.isLimited(runner);
  }

  /**
   * Time until the first runner of a service ends its pause; undefined unless
   * all of them pause.
   */
  findPauseEndMs(serviceId: string): number | undefined {
    const usable = this.#directory.listUsable(serviceId);
    return this.#pauses.findEarliestEndMs(usable);
  }

  /**
   * Time that a stream may take to begin at its runner, as unread prompts bound
   * the placement there; 0 where they are not known.
   */
  findFirstTokenMs(shortestTargetMs: number | undefined): number {
    return shortestTargetMs !== undefined && this.#loadTracker.knowsFleet
      ? computeFirstTokenLimitMs({
          isUrgent: false,
          targetLeftMs: 0,
          shortestTargetMs,
        })
      : 0;
  }

  /** Load of one runner as known to this instance. */
  getLoad(runnerId: string): RunnerLoad {
    return this.#loadTracker.getLoad(runnerId);
  }

  /** Lists the runners that a request may be sent to, with their load. */
  listCandidates(
    requirements: Pick<
      PlacementRequirements,
      | "service"
      | "work"
      | "excludedRunnerIds"
      | "softwareVersion"
      | "findAllowedRegions"
    >,
  ): readonly RunnerCandidate[] {
    const nowMs = monotonicMs();
    const { service, excludedRunnerIds } = requirements;
    const allowedRegions = requirements.findAllowedRegions();
    const candidates: RunnerCandidate[] = [];
    const warmingUp: RunnerCandidate[] = [];
    const promptTokens = requirements.work?.promptTokens ?? 0;
    for (const runner of this.#listUsable(requirements)) {
      const { runnerId } = runner;
      if (excludedRunnerIds.has(runnerId)) continue;
      if (this.#pauses.isPaused(runner)) continue;
      if (this.#permits.findOpenMs(runner) > 0) continue;
      if (!this.#rules.isAllowed(runner, allowedRegions)) continue;
      if (!this.#rules.hasTurn(runner, service)) continue;
      const load = this.#loadTracker.getLoad(runnerId, nowMs);
      const failureShare = this.#outliers.getFailureShare(runnerId, nowMs);
      const candidate = { runner, load, failureShare };
      if (this.#rules.keepsPace(candidate, service, promptTokens))
        candidates.push(candidate);
      else warmingUp.push(candidate);
    }
    return candidates.length > 0 ? candidates : warmingUp;
  }

  /** Chooses a runner; waits up to `maxWaitMs` if none has capacity. */
  async chooseOrWait(
    requirements: PlacementRequirements,
    options: {
      readonly maxWaitMs: number;
      /** The request's deadline, on the monotonic clock. */
      readonly deadlineAtMs: number;
      readonly signal: AbortSignal;
    },
  ): Promise<PlacementChoice> {
    const { service } = requirements;
    // Plain services have no memory to run short of.
    if (service.engine) await this.#loadExchange?.refresh();
    // Later arrivals do not overtake queued requests, unless urgent.
    const mayBypassQueue =
      this.#queue.sizeOf(service.serviceId) === 0 || requirements.isUrgent;
    const confirmed = mayBypassQueue
      ? await this.#chooseConfirmed(requirements)
      : undefined;
    if (confirmed) return confirmed;
    if (options.signal.aborted) return { type: "no_runner" };
    const choice = this.chooseNow(requirements);
    const isWaitUseless =
      choice.type === "all_paused" ||
      choice.type === "not_allowed" ||
      choice.type === "no_software" ||
      (choice.type === "all_limited" && choice.opensInMs > options.maxWaitMs);
    if (options.maxWaitMs <= 0 || isWaitUseless) return choice;
    return await new Promise((resolve) => {
      const { signal } = options;
      const nowMs = monotonicMs();
      const onAbort = () => {
        this.#queue.removeWhere((item) => item === queued);
        queued.settle({ type: "no_runner" });
      };
      const queued: QueuedRequest = {
        request: {
          teamId: requirements.teamId,
          teamWeight: 1,
          isShort: requirements.isUrgent,
        },
        queuedAtMs: nowMs,
        costTokens: requirements.work?.promptTokens ?? 1,
        requirements,
        waitEndsAtMs: nowMs + options.maxWaitMs,
        deadlineAtMs: options.deadlineAtMs,
        isConfirming: false,
        nextConfirmationAtMs: 0,
        settle: (settled) => {
          signal.removeEventListener("abort", onAbort);
          resolve(settled);
        },
      };
      signal.addEventListener("abort", onAbort, { once: true });
      this.#queue.push(service.serviceId, queued);
      if (choice.type === "all_limited") void this.#awaitPermit(queued);
      this.#timer ??= setInterval(() => {
        this.dispatchQueued();
      }, DISPATCH_INTERVAL_MS);
    });
  }

  /** Reserves capacity on a runner until the placement is released. */
  reserve(
    runnerId: string,
    work: GenerationWork | undefined,
    serviceId?: string,
  ): Placement {
    const { unreadTokens } = this.#loadTracker.getLoad(runnerId);
    const reservedAtMs = monotonicMs();
    const placement = new Placement(runnerId, work, () => {
      this.#loadExchange?.scheduleReport();
      if (serviceId === undefined || !work) return;
      const tokens = unreadTokens + work.promptTokens;
      const tookMs = monotonicMs() - reservedAtMs;
      this.#prefillRates.record(serviceId, tokens, tookMs);
    });
    this.#loadTracker.place(placement);
    if (work) this.#loadExchange?.scheduleReport();
    return placement;
  }

  /** Releases a reservation and dispatches the queue. */
  release(placement: Placement): void {
    this.#loadTracker.release(placement);
    if (placement.hasWork) this.#loadExchange?.scheduleReport();
    if (this.#queue.size > 0)
      setImmediate(() => {
        this.dispatchQueued();
      });
  }

  /** Settles the queued requests whose deadline matches, without a runner. */
  dismissQueued(isDismissed: (deadlineAtMs: number) => boolean): void {
    const dismissed = this.#queue.removeWhere((item) =>
      isDismissed(item.deadlineAtMs),
    );
    for (const item of dismissed) item.settle({ type: "no_runner" });
  }

  /** Places queued requests that now fit and settles expired ones. */
  dispatchQueued(): void {
    const nowMs = monotonicMs();
    this.#refreshForQueue(nowMs);
    const expired = this.#queue.removeWhere(
      (item) => item.waitEndsAtMs <= nowMs,
    );
    for (const item of expired) item.settle(this.chooseNow(item.requirements));
    if (!this.#pauses.isEmpty) this.#settlePaused();
    this.#settleNotAllowed();
    // Assigns at most one request to each runner per pass, because a request
    // counts as load only after it has been reserved.
    const assignedRunnerIds = new Set<string>();
    this.#queue.drain((item) => {
      if (item.isConfirming || item.nextConfirmationAtMs > nowMs) return false;
      const choice = this.chooseNow(item.requirements);
      if (choice.type !== "placed") return false;
      if (assignedRunnerIds.has(choice.runner.runnerId)) return false;
      assignedRunnerIds.add(choice.runner.runnerId);
      if (this.#needsAsking(choice.runner, item.requirements)) {
        void this.#confirmQueued(item, choice);
        return false;
      }
      item.settle(choice);
      return true;
    }, nowMs);
    if (this.#queue.size === 0) {
      clearInterval(this.#timer);
      this.#timer = undefined;
    }
  }

  /**
   * Decides on a placement of any instance as the one at which those on the runner
   * meet, by its load and by what has been granted in the last moments.
   */
  grant(
    runner: GatewayRunner,
    service: RoutedService,
    question: PlacementQuestion,
  ): boolean {
    const { runnerId, promptTokens, needTokens, isUrgent } = question;
    const nowMs = monotonicMs();
    const load = addLoads(
      this.#loadTracker.getLoad(runnerId),
      this.#grants.find(runnerId, nowMs),
    );
    const outputTokens = Math.max(0, needTokens - promptTokens);
    const work = {
      promptTokens,
      maxOutputTokens: outputTokens,
      expectedOutputTokens: outputTokens,
      prefixParts: [],
    };
    const candidate = { runner, load, failureShare: 0 };
    const context = {
      ...this.#location,
      nowMs,
      engine: service.engine,
      work,
      isUrgent,
      firstToken: {
        tokensPerMs: this.#prefillRates.find(service.serviceId),
        limitMs: question.firstTokenLimitMs,
      },
    };
    const isGranted =
      this.#rules.keepsPace(candidate, service, promptTokens) &&
      scoreCandidate(candidate, context) !== undefined;
    if (isGranted) {
      this.#grants.add(
        runnerId,
        { requests: 1, peakTokens: needTokens, unreadTokens: promptTokens },
        nowMs,
      );
    }
    return isGranted;
  }

  // Chooses again where the placements of others are in the way, a few times.
  async #chooseConfirmed(
    requirements: PlacementRequirements,
  ): Promise<PlacementChoice | undefined> {
    const excludedRunnerIds = new Set(requirements.excludedRunnerIds);
    for (let choices = 0; choices < MAX_CONFIRMED_CHOICES; choices += 1) {
      const choice = this.chooseNow({ ...requirements, excludedRunnerIds });
      if (choice.type !== "placed") return undefined;
      if (!this.#needsAsking(choice.runner, requirements)) return choice;
      if (await this.#ask(choice.runner, requirements)) return choice;
      excludedRunnerIds.add(choice.runner.runnerId);
    }
    return undefined;
  }

  async #confirmQueued(
    item: QueuedRequest,
    choice: PlacementChoice & { readonly type: "placed" },
  ): Promise<void> {
    item.isConfirming = true;
    const isGranted = await this.#ask(choice.runner, item.requirements);
    item.isConfirming = false;
    if (!isGranted) {
      item.nextConfirmationAtMs = monotonicMs() + CONFIRMATION_PAUSE_MS;
      return;
    }
    const waiting = this.#queue.removeWhere((queued) => queued === item);
    if (waiting.length > 0) item.settle(choice);
    else this.#permits.release(choice.runner);
  }

  // Gets a permit of the runner that has one first for a request in the queue, and
  // refuses the request if that is too late for it.
  async #awaitPermit(item: QueuedRequest): Promise<void> {
    const [runner] = this.#listRemaining(item.requirements)
      .filter((candidate) => this.#permits.isLimited(candidate))
      .sort(
        (a, b) => this.#permits.findOpenMs(a) - this.#permits.findOpenMs(b),
      );
    if (!runner) return;
    const maxWaitMs = item.waitEndsAtMs - monotonicMs();
    const permit = await this.#permits.acquire(runner, { maxWaitMs });
    if (permit.type === "granted") return;
    const choice = this.chooseNow(item.requirements);
    const isTooLate =
      choice.type === "all_limited" &&
      monotonicMs() + choice.opensInMs > item.waitEndsAtMs;
    if (!isTooLate) return;
    const waiting = this.#queue.removeWhere((queued) => queued === item);
    if (waiting.length > 0) item.settle(choice);
  }

  // Claims a permit that is at hand.
  #needsAsking(
    runner: GatewayRunner,
    requirements: PlacementRequirements,
  ): boolean {
    return (
      this.#needsConfirmation(requirements) || !this.#permits.claim(runner)
    );
  }

  async #ask(
    runner: GatewayRunner,
    requirements: PlacementRequirements,
  ): Promise<boolean> {
    const isConfirmed =
      !this.#needsConfirmation(requirements) ||
      (await this.#confirm(runner, requirements));
    if (!isConfirmed) return false;
    if (this.#permits.claim(runner)) return true;
    const permit = await this.#permits.acquire(runner, { maxWaitMs: 0 });
    return permit.type === "granted" && this.#permits.claim(runner);
  }

  #needsConfirmation({ service, work }: PlacementRequirements): boolean {
    return (
      this.#loadExchange !== undefined &&
      service.engine !== undefined &&
      work !== undefined &&
      this.#loadTracker.knowsFleet
    );
  }

  async #confirm(
    runner: GatewayRunner,
    requirements: PlacementRequirements,
  ): Promise<boolean> {
    const { work, isUrgent } = requirements;
    const limit = this.#findFirstTokenLimit(requirements);
    if (!this.#loadExchange || !work || !limit) return true;
    return await this.#loadExchange.confirm(runner, {
      runnerId: runner.runnerId,
      promptTokens: work.promptTokens,
      needTokens: Math.round(estimatePeakTokens(work, 0)),
      isUrgent,
      firstTokenLimitMs: Math.round(limit.limitMs),
    });
  }

  #createContext(requirements: PlacementRequirements): PlacementContext {
    const isLargeFleet = this.#countInstances() > SMALL_FLEET_MAX_INSTANCES;
    return {
      ...this.#location,
      random: isLargeFleet ? Math.random() : undefined,
      nowMs: monotonicMs(),
      engine: requirements.service.engine,
      work: requirements.work,
      isUrgent: requirements.isUrgent,
      firstToken: this.#findFirstTokenLimit(requirements),
    };
  }

  #findFirstTokenLimit({
    service,
    isUrgent,
    targetAtMs,
    shortestTargetMs,
  }: PlacementRequirements) {
    const isKnown =
      targetAtMs !== undefined &&
      shortestTargetMs !== undefined &&
      this.#loadTracker.knowsFleet;
    if (!isKnown) return undefined;
    return {
      tokensPerMs: this.#prefillRates.find(service.serviceId),
      limitMs: computeFirstTokenLimitMs({
        isUrgent,
        targetLeftMs: Math.max(0, targetAtMs - monotonicMs()),
        shortestTargetMs,
      }),
    };
  }

  // Settles the queued requests for which all runners pause.
  #settlePaused(): void {
    const paused = this.#queue.removeWhere(
      ({ requirements }) => this.chooseNow(requirements).type === "all_paused",
    );
    for (const item of paused) item.settle({ type: "all_paused" });
  }

  #refreshForQueue(nowMs: number): void {
    const sinceMs = nowMs - this.#refreshedForQueueAtMs;
    if (this.#queue.size === 0 || sinceMs < QUEUE_REFRESH_INTERVAL_MS) return;
    this.#refreshedForQueueAtMs = nowMs;
    void this.#loadExchange?.refresh();
  }

  // Settles the queued requests that the operator has since barred everywhere.
  #settleNotAllowed(): void {
    const barred = this.#queue.removeWhere(
      ({ requirements }) => !this.#isAllowedAnywhere(requirements),
    );
    for (const item of barred) item.settle({ type: "not_allowed" });
  }

  #listUsable({
    service,
    softwareVersion,
  }: Pick<
    PlacementRequirements,
    "service" | "softwareVersion"
  >): readonly GatewayRunner[] {
    const usable = this.#directory.listUsable(service.serviceId);
    return softwareVersion === undefined
      ? usable
      : usable.filter((runner) =>
          isSameSoftware(softwareVersion, runner.softwareVersion),
        );
  }

  // A version does not come back once its last runner leaves.
  #hasSoftware(requirements: PlacementRequirements): boolean {
    return (
      requirements.softwareVersion === undefined ||
      this.#listUsable(requirements).length > 0
    );
  }

  // True also without any usable runner, as one may be listed soon.
  #isAllowedAnywhere(requirements: PlacementRequirements): boolean {
    const { findAllowedRegions } = requirements;
    const usable = this.#listUsable(requirements);
    if (usable.length === 0) return true;
    const allowedRegions = findAllowedRegions();
    return usable.some((runner) =>
      this.#rules.isAllowed(runner, allowedRegions),
    );
  }

  #arePaused(requirements: PlacementRequirements): boolean {
    const remaining = this.#listRemaining(requirements);
    return this.#pauses.findEarliestEndMs(remaining) !== undefined;
  }

  // Time until the first of the runners can be asked for a permit; undefined if
  // there is one without a limit that does not pause.
  #findPermitMs(requirements: PlacementRequirements): number | undefined {
    const remaining = this.#listRemaining(requirements).filter(
      (runner) => !this.#pauses.isPaused(runner),
    );
    const areLimited =
      remaining.length > 0 &&
      remaining.every((runner) => this.#permits.isLimited(runner));
    return areLimited
      ? Math.min(...remaining.map((runner) => this.#permits.findOpenMs(runner)))
      : undefined;
  }

  // Runners that the request has tried count only if there are no others.
  #listRemaining(
    requirements: PlacementRequirements,
  ): readonly GatewayRunner[] {
    const { excludedRunnerIds, findAllowedRegions } = requirements;
    const allowedRegions = findAllowedRegions();
    const usable = this.#listUsable(requirements).filter((runner) =>
      this.#rules.isAllowed(runner, allowedRegions),
    );
    const others = usable.filter(
      ({ runnerId }) => !excludedRunnerIds.has(runnerId),
    );
    return others.length > 0 ? others : usable;
  }
}

function scoreOf({ verdict }: ExplainedRunner): number {
  return verdict.type === "candidate" ? verdict.score : Number.MAX_VALUE;
}
