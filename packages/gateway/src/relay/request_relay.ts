import type { PartQuarantine, Quarantine } from "@jujubeladder/coordination";
import type { Logger } from "@jujubeladder/logger";
import type { Metrics } from "@jujubeladder/metrics";
import { monotonicMs, readClocks } from "@jujubeladder/utils";
import { computeQueueWaitMs } from "../decisions/compute_queue_wait_ms.js";
import { endsBeforeExit } from "../decisions/ends_before_exit.js";
import { estimateRetryAfterMs } from "../decisions/estimate_retry_after_ms.js";
import { FailureBlame } from "../decisions/failure_blame.js";
import { findQuarantineRefusal } from "../decisions/find_quarantine_refusal.js";
import { isSameSoftware } from "../decisions/is_same_software.js";
import type { OutlierScores } from "../decisions/outlier_scores.js";
import { RateMeter } from "../decisions/rate_meter.js";
import { refuseWhileStopping } from "../decisions/refuse_while_stopping.js";
import type { GatewayCodec } from "../model/gateway_codec.js";
import type { EngineControl } from "../model/engine_control.js";
import type { GatewayRunner } from "../model/gateway_runner.js";
import type { Refusal } from "../model/refusal.js";
import type { RunnerResponse } from "../model/runner_response.js";
import type { ConnectionPool } from "../transport/connection_pool.js";
import type { RatePermits } from "../mesh/rate_permits.js";
import type { RunnerDirectory } from "../views/runner_directory.js";
import type { AttemptOutcome } from "./attempt_outcome.js";
import { connectToListedStart } from "./connect_to_listed_start.js";
import type { FinalOutcome } from "./final_outcome.js";
import type { InterruptedRequest } from "./interrupted_request.js";
import { deliverAnswer } from "./deliver_answer.js";
import type { EndChecker } from "./end_checker.js";
import { findConfirmationMs } from "./find_confirmation_ms.js";
import { logAttempt } from "./log_attempt.js";
import { mayRetry } from "./may_retry.js";
import type { PartEvidenceRecorder } from "./part_evidence_recorder.js";
import { recordStream } from "./record_stream.js";
import type { PlacementScheduler } from "./placement_scheduler.js";
import type { PlacementRules } from "./placement_rules.js";
import type { RelayProgress } from "./relay_progress.js";
import type { RequestContext } from "./request_context.js";
import { recordUnexecuted } from "./record_unexecuted.js";
import { remainingMs } from "./remaining_ms.js";
import { runAttempt } from "./run_attempt.js";
import type { RetryBooker } from "./retry_booker.js";
import type { RunMigrator } from "./run_migrator.js";
import type { RunnerNotices } from "./runner_notices.js";
import type { StreamTakeUps } from "./stream_take_ups.js";
import { StreamSession } from "./stream_session.js";

/** Connecting takes one round trip, which is under 100 ms between regions. */
const CONNECT_TIMEOUT_MS = 700;
/** Maximum number of runners a request is sent to, rejections included. */
const MAX_SENDS = 5;
/**
 * Share of the target latency after which a silent attempt is retried
 * on another runner.
 */
const FIRST_BYTE_SHARE = 0.8;
/**
 * The same for streams. A retry would seldom have enough time left for prefill,
 * so only attempts on hanging runners are abandoned.
 */
const STREAM_FIRST_BYTE_SHARE = 1.5;
const NO_RETRIES = ", no retries are left";
const NO_PLACEMENT_REASONS = {
  no_capacity: "no runner has room",
  all_paused: "all runners pause",
  all_limited: "all runners limit their rate",
  not_allowed: "the request may go to none of the runners",
  no_software: "no runner has the software version of the stream",
  no_runner: "no runner is left",
} as const;
/** Only the operator can lift what bars a request everywhere. */
const NOT_ALLOWED_RETRY_MS = 1_000;
/** Another instance may know it. */
const UNKNOWN_SOFTWARE_RETRY_MS = 500;
/** Engine priority per level of request priority; 0 is served first. */
const ENGINE_PRIORITY_STEP = 2;

/** Dependencies of the relay. */
interface RelayDependencies {
  readonly codec: GatewayCodec;
  readonly pool: ConnectionPool;
  readonly scheduler: PlacementScheduler;
  readonly migrator: RunMigrator;
  readonly notices: RunnerNotices;
  readonly rules: PlacementRules;
  readonly permits: Pick<RatePermits, "spend" | "release">;
  readonly directory: RunnerDirectory;
  readonly outliers: OutlierScores;
  readonly retries: RetryBooker;
  readonly quarantine: Quarantine;
  readonly partQuarantine: PartQuarantine;
  readonly partEvidence: PartEvidenceRecorder;
  readonly takeUps: StreamTakeUps;
  readonly control: Pick<EngineControl, "readStart">;
  readonly endChecker: EndChecker;
  readonly checkForCrash: (
    runner: GatewayRunner,
    request: InterruptedRequest,
  ) => void;
  /**
   * When this instance exits, on the monotonic clock; undefined unless it is
   * stopping.
   */
  readonly exitAtMs: () => number | undefined;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** Forwards requests to runners and returns their responses. */
export class RequestRelay {
  readonly #dependencies: RelayDependencies;
  readonly #sendRate = new RateMeter();

  constructor(dependencies: RelayDependencies) {
    this.#dependencies = dependencies;
  }

  /**
   * Serves one request to its final outcome. If that is `refused`, the refusal
   * is still to be sent; otherwise the response has been sent or aborted, or
   * the caller has disconnected.
   */
  async serve(context: RequestContext): Promise<FinalOutcome> {
    const { service, response } = context;
    const { takeUps } = this.#dependencies;
    const isTakeUp = takeUps.isTakeUp(context);
    const softwareVersion = isTakeUp
      ? await takeUps.findVersion(context)
      : undefined;
    if (isTakeUp && softwareVersion === undefined) {
      const reason = "the software version of the stream is not known";
      const retryAfterMs = UNKNOWN_SOFTWARE_RETRY_MS * (1 + Math.random() / 2);
      return response.disconnectSignal.aborted
        ? { type: "caller_left" }
        : refuse({ type: "not_run", reason, retryAfterMs });
    }
    const session =
      context.route.retryPolicy.type === "stream"
        ? new StreamSession(response, {
            tokensPerEvent: service.engine?.tokensPerEvent ?? 1,
            lastEventId: context.request.lastEventId,
            softwareVersion,
            onBegun: (version) => {
              takeUps.recordBegun(context, version);
            },
            onSurvived: (ageMs) => {
              const { sharedPartIds } = context;
              this.#dependencies.partEvidence.recordLived(sharedPartIds, ageMs);
            },
          })
        : undefined;
    this.#dependencies.retries.recordRequest(context);
    const progress: RelayProgress = {
      excludedRunnerIds: new Set(),
      sendCount: 0,
      executionCount: 0,
      mayHaveExecuted: false,
      lastReason: "",
      isBarred: false,
      permitInMs: undefined,
      lastFailure: undefined,
      failures: new FailureBlame(),
      lastConnection: undefined,
      abandonedRun: undefined,
      booking: undefined,
      nextBooking: undefined,
      continueAt: undefined,
    };
    const outcome = await this.#runAttempts(context, session, progress);
    this.#releaseUnused(progress);
    const hasSucceeded =
      outcome.type === "delivered" && outcome.statusCode < 500;
    for (const runnerId of progress.failures.listBlamed(hasSucceeded))
      this.#dependencies.outliers.record(runnerId, true);
    if (session) takeUps.recordEnded(context);
    if (session)
      recordStream(this.#dependencies, context, { session, progress });
    return outcome;
  }

  /** Gives up waiting requests that would outlast a stopping instance. */
  dismissWaiting(): void {
    const exitAtMs = this.#dependencies.exitAtMs();
    this.#dependencies.scheduler.dismissQueued(
      (deadlineAtMs) => !endsBeforeExit(deadlineAtMs, exitAtMs),
    );
  }

  async #runAttempts(
    context: RequestContext,
    session: StreamSession | undefined,
    progress: RelayProgress,
  ): Promise<FinalOutcome> {
    for (;;) {
      if (context.response.cancelSignal.aborted)
        return this.#giveUp(context, progress);
      if (remainingMs(context) <= 0) return this.#giveUp(context, progress);
      const runner = await this.#findRunner(context, session, progress);
      if (!runner) {
        progress.booking?.release();
        return this.#giveUp(context, progress);
      }
      const isResumption = progress.continueAt !== undefined;
      const outcome = await this.#attempt(context, session, {
        runner,
        progress,
      });
      const final = this.#afterAttempt(context, session, {
        runner,
        outcome,
        isResumption,
        progress,
      });
      if (final) return final;
    }
  }

  // The caller may leave, or time may run out, before the next attempt.
  #releaseUnused({ continueAt, nextBooking }: RelayProgress): void {
    nextBooking?.release();
    if (!continueAt) return;
    continueAt.booking?.release();
    void this.#dependencies.migrator.dropCopy(continueAt.cacheRef);
  }

  // Returns why no attempt may start now. A stream that its caller is receiving
  // goes on for as long as a stopping instance can.
  #findObstacle(context: RequestContext): Refusal | undefined {
    const { deadlineAtMs, response } = context;
    const exitAtMs = this.#dependencies.exitAtMs();
    if (!response.isHeadSent && !endsBeforeExit(deadlineAtMs, exitAtMs))
      return refuseWhileStopping();
    return findQuarantineRefusal(context, this.#dependencies);
  }

  async #findRunner(
    context: RequestContext,
    session: StreamSession | undefined,
    progress: RelayProgress,
  ): Promise<GatewayRunner | undefined> {
    const { continueAt } = progress;
    const { scheduler, retries } = this.#dependencies;
    if (continueAt) {
      progress.booking =
        continueAt.booking ?? retries.book(context, "resumption");
      if (progress.booking) return continueAt.runner;
      progress.lastReason += NO_RETRIES;
      return undefined;
    }
    if (this.#findObstacle(context)) return undefined;
    const { route, service, request, response } = context;
    if (progress.mayHaveExecuted && !mayRetry(route.retryPolicy))
      return undefined;
    if (progress.sendCount >= MAX_SENDS) return undefined;
    if (progress.executionCount >= Math.max(1, route.maxAttempts))
      return undefined;
    const isRetry = progress.sendCount > 0;
    if (isRetry) {
      progress.booking = progress.nextBooking ?? retries.book(context, "retry");
      progress.nextBooking = undefined;
      if (!progress.booking) {
        progress.lastReason += NO_RETRIES;
        return undefined;
      }
    }
    const elapsedMs = monotonicMs() - context.receivedAtMs;
    const { shortestTargetMs } = context;
    const waitMs = computeQueueWaitMs({
      targetMs: route.targetLatencyMs,
      elapsedMs,
      firstTokenMs: scheduler.findFirstTokenMs(shortestTargetMs),
    });
    const choice = await scheduler.chooseOrWait(
      {
        service,
        teamId: context.team?.teamId ?? "",
        work: request.work,
        isUrgent: context.priority === 0,
        targetAtMs: context.receivedAtMs + route.targetLatencyMs,
        shortestTargetMs,
        excludedRunnerIds: progress.excludedRunnerIds,
        softwareVersion: session?.softwareVersion,
        findAllowedRegions: context.findAllowedRegions,
      },
      {
        maxWaitMs: Math.min(waitMs, remainingMs(context)),
        deadlineAtMs: context.deadlineAtMs,
        signal: response.cancelSignal,
      },
    );
    // It may have come up during the wait.
    if (this.#findObstacle(context)) {
      if (choice.type === "placed")
        this.#dependencies.permits.release(choice.runner);
      return undefined;
    }
    if (choice.type === "placed") {
      const load = scheduler.getLoad(choice.runner.runnerId);
      this.#dependencies.logger.info("placement", {
        request: request.requestId,
        runner: choice.runner.runnerId,
        software_version: choice.runner.softwareVersion,
        score: choice.score,
        candidates: choice.candidateCount,
        runner_requests: load.requests,
        runner_peak_tokens: load.peakTokens,
        runner_unread_tokens: load.unreadTokens,
        waited_ms: monotonicMs() - context.receivedAtMs - elapsedMs,
        waiting: scheduler.queuedCount,
      });
      return choice.runner;
    }
    progress.isBarred = choice.type === "not_allowed";
    progress.permitInMs =
      choice.type === "all_limited" ? choice.opensInMs : undefined;
    progress.lastReason ||= NO_PLACEMENT_REASONS[choice.type];
    return undefined;
  }

  // A silent attempt may still be answered, so that it is only given up if a
  // retry can follow.
  #mayAbandon(context: RequestContext, progress: RelayProgress): boolean {
    if (this.#findObstacle(context)) return false;
    if (progress.sendCount >= MAX_SENDS) return false;
    progress.nextBooking = this.#dependencies.retries.book(context, "retry");
    return progress.nextBooking !== undefined;
  }

  async #attempt(
    context: RequestContext,
    session: StreamSession | undefined,
    plan: { readonly runner: GatewayRunner; readonly progress: RelayProgress },
  ): Promise<AttemptOutcome> {
    const { runner, progress } = plan;
    const { request, route, service } = context;
    const { scheduler, pool, codec, directory, notices } = this.#dependencies;
    const isResumption = progress.continueAt !== undefined;
    const placement = scheduler.reserve(
      runner.runnerId,
      request.work,
      isResumption ? undefined : service.serviceId,
    );
    session?.setPlacement(placement, runner.softwareVersion);
    const migration = this.#dependencies.migrator.track(context, runner);
    const continueFrom = progress.continueAt?.cacheRef;
    progress.continueAt = undefined;
    progress.lastConnection = undefined;
    const eventCount = session?.eventCount ?? 0;
    const { abandonedRun } = progress;
    progress.abandonedRun = undefined;
    try {
      if (abandonedRun) {
        await this.#dependencies.migrator.stop(context, abandonedRun, {
          target: runner,
          maxWaitMs: remainingMs(context),
        });
      }
      const connect = async (options: { readonly mustBeNew: boolean }) =>
        await pool.acquire(runner, {
          ...options,
          timeoutMs: Math.min(CONNECT_TIMEOUT_MS, remainingMs(context)),
          signal: context.response.cancelSignal,
        });
      const mustBeNew =
        !mayRetry(route.retryPolicy) || continueFrom !== undefined;
      const hasBegun = session?.softwareVersion !== undefined;
      const opened = hasBegun
        ? await connectToListedStart(runner, {
            connect,
            control: this.#dependencies.control,
            mayBeUnknown: continueFrom !== undefined,
          })
        : await connect({ mustBeNew });
      if (!opened.ok) return { type: "not_sent", reason: opened.error };
      const connection = opened.value;
      const kind = { isResumption: continueFrom !== undefined };
      if (!(await this.#dependencies.permits.spend(runner, kind))) {
        connection.close();
        return { type: "withheld", reason: "the runner limits its rate" };
      }
      const ruled = { service, allowedRegions: context.findAllowedRegions() };
      const objection =
        notices.findObjection(runner, kind) ??
        this.#dependencies.rules.findObjection(runner, ruled, kind);
      if (objection !== undefined) {
        connection.close();
        return { type: "withheld", reason: objection };
      }
      if (!this.#hasSoftware(runner, session?.softwareVersion)) {
        connection.close();
        return {
          type: "withheld",
          reason: "the runner has another software version",
        };
      }
      const leftMs = remainingMs(context);
      if (leftMs <= 0) {
        connection.close();
        return { type: "timed_out" };
      }
      const sentAtMs = monotonicMs();
      const sentAt = readClocks();
      progress.sendCount += 1;
      if (progress.booking) {
        progress.booking.recordSent();
        this.#dependencies.metrics.count(continueFrom ? "resumes" : "retries");
      }
      this.#sendRate.record();
      migration?.onCloseSource(() => {
        connection.close();
      });
      if (migration && continueFrom)
        this.#dependencies.migrator.startIfLeaving(runner, migration);
      const {
        outcome: received,
        head,
        connection: ended,
      } = await runAttempt(connection, {
        codec,
        requestId: request.requestId,
        method: request.method,
        target: request.target,
        headers: codec.encodeAttempt(request, {
          runnerId: runner.runnerId,
          teamId: context.team?.teamId,
          remainingMs: leftMs,
          enginePriority: service.engine
            ? Math.min(9, context.priority * ENGINE_PRIORITY_STEP)
            : undefined,
          continueFrom,
          lastEventId: session?.lastEventId,
        }),
        body: context.body,
        signal: context.response.cancelSignal,
        remainingMs: leftMs,
        firstByteTimeoutMs: this.#firstByteTimeoutMs(context, progress),
        mayAbandon: () => this.#mayAbandon(context, progress),
        receiver: session,
        onOwnHead: ({ notice, execution }) => {
          const source = execution === "executed" ? "answer" : "refusal";
          notices.heed(runner, notice, { source, sentAtMs });
        },
      });
      const isGivenUp =
        received.type === "caller_left" &&
        !context.response.disconnectSignal.aborted;
      const outcome = isGivenUp
        ? ({ type: "given_up" } as const)
        : await this.#dependencies.endChecker.check(received, {
            requestId: request.requestId,
            runner,
            connection: ended,
            migration,
            sentAt,
            maxWaitMs: remainingMs(context),
          });
      progress.lastConnection = ended;
      // It began at some time since it was sent.
      if (outcome.type === "answered" && isSuccess(outcome.head))
        this.#dependencies.partEvidence.recordLived(
          context.sharedPartIds,
          monotonicMs() - sentAtMs,
        );
      const isClosing =
        head?.isClosing === true || directory.isLeaving(runner.runnerId);
      if (isClosing && head?.execution !== "wrong_runner") {
        connection.close();
      } else if (outcome.type === "answered" || outcome.type === "streamed") {
        pool.release(runner.runnerId, connection, head?.keepAliveMs);
      }
      if (outcome.type === "broken" && migration) {
        const state = await migration.resolveAfterBreak(
          findConfirmationMs(context, session?.lastEventAtMs),
          context.response.cancelSignal,
        );
        if (state.type === "stopped") {
          progress.continueAt = {
            runner: state.runner,
            cacheRef: state.cacheRef,
            booking: migration.takeBooking(),
          };
        }
      }
      // A runner may work on after its connection has ended.
      const mayGoOn =
        outcome.type === "slow" ||
        (outcome.type === "broken" && !progress.continueAt);
      if (mayGoOn && session) {
        const hasStarted = session.eventCount > eventCount;
        progress.abandonedRun = { source: runner, hasStarted };
      }
      return outcome;
    } finally {
      scheduler.release(placement);
      progress.booking?.release();
      progress.booking = undefined;
      if (migration) this.#dependencies.migrator.untrack(runner, migration);
    }
  }

  // The runner may have started again under its id since it was chosen.
  #hasSoftware(
    runner: GatewayRunner,
    softwareVersion: string | undefined,
  ): boolean {
    if (softwareVersion === undefined) return true;
    const current = this.#dependencies.directory.find(runner.runnerId);
    return (
      isSameSoftware(softwareVersion, runner.softwareVersion) &&
      isSameSoftware(softwareVersion, (current ?? runner).softwareVersion)
    );
  }

  // Returns the final outcome, or undefined if another attempt follows.
  #afterAttempt(
    context: RequestContext,
    session: StreamSession | undefined,
    attempt: {
      readonly runner: GatewayRunner;
      readonly outcome: AttemptOutcome;
      /** The attempt was to resume a run that stopped on another runner. */
      readonly isResumption: boolean;
      readonly progress: RelayProgress;
    },
  ): FinalOutcome | undefined {
    const { runner, outcome, isResumption, progress } = attempt;
    logAttempt(this.#dependencies.logger, context, attempt);
    progress.excludedRunnerIds.add(runner.runnerId);
    const canRetry = mayRetry(context.route.retryPolicy);
    switch (outcome.type) {
      case "not_sent":
        this.#dependencies.outliers.record(runner.runnerId, true);
        recordUnexecuted(progress, outcome, isResumption);
        return undefined;
      case "rejected":
      case "withheld":
        recordUnexecuted(progress, outcome, isResumption);
        return undefined;
      case "streamed":
        this.#dependencies.outliers.record(runner.runnerId, false);
        this.#recordServed(context);
        session?.end();
        return { type: "delivered", statusCode: 200 };
      case "answered": {
        const isFailure = outcome.head.statusCode >= 500;
        if (!isFailure)
          this.#dependencies.outliers.record(runner.runnerId, false);
        if (isSuccess(outcome.head)) this.#recordServed(context);
        // A pause is not a failure of the runner.
        if (isFailure && outcome.head.notice.pauseMs === undefined)
          progress.failures.recordFailure(runner.runnerId);
        if (isFailure && canRetry && !context.response.isHeadSent) {
          progress.executionCount += 1;
          progress.mayHaveExecuted = true;
          progress.lastFailure = outcome;
          progress.lastReason = `status ${outcome.head.statusCode}`;
          return undefined;
        }
        return deliverAnswer(context, outcome);
      }
      case "broken":
        this.#dependencies.outliers.record(runner.runnerId, true);
        progress.lastReason = outcome.reason;
        progress.mayHaveExecuted = true;
        if (progress.continueAt) return undefined;
        this.#dependencies.checkForCrash(runner, {
          requestId: context.request.requestId,
          fingerprint: context.computeFingerprint(),
          sharedPartIds: context.sharedPartIds,
          writingForMs: session?.writingForMs,
        });
        progress.executionCount += 1;
        return canRetry ? undefined : this.#giveUp(context, progress);
      case "slow":
        this.#dependencies.outliers.record(runner.runnerId, true);
        progress.executionCount += 1;
        progress.mayHaveExecuted = true;
        progress.lastReason = "the runner was slow";
        return undefined;
      case "timed_out":
        if (context.response.isHeadSent) {
          context.response.abort();
          return { type: "cut", reason: "the time is up" };
        }
        return refuse({ type: "timed_out", reason: "the time is up" });
      case "caller_left":
        return { type: "caller_left" };
      case "given_up":
        progress.mayHaveExecuted ||=
          (progress.lastConnection?.sentBytes ?? 0) > 0;
        progress.lastReason = "this instance stops";
        return this.#giveUp(context, progress);
    }
  }

  #giveUp(context: RequestContext, progress: RelayProgress): FinalOutcome {
    const { response } = context;
    const reason = progress.lastReason || "the time is up";
    if (response.disconnectSignal.aborted) return { type: "caller_left" };
    if (response.isHeadSent) {
      response.abort();
      return { type: "cut", reason };
    }
    if (progress.lastFailure)
      return deliverAnswer(context, progress.lastFailure);
    if (!progress.mayHaveExecuted) {
      const obstacle = this.#findObstacle(context);
      if (obstacle) return refuse(obstacle);
      if (progress.isBarred) {
        const retryAfterMs = NOT_ALLOWED_RETRY_MS * (1 + Math.random() / 2);
        return refuse({ type: "not_run", reason, retryAfterMs });
      }
      const retryAfterMs = estimateRetryAfterMs({
        queuedCount: this.#dependencies.scheduler.queuedCount,
        freedSlotsPerSecond: this.#sendRate.perSecond,
        permitInMs: progress.permitInMs,
        pauseEndsInMs: this.#dependencies.scheduler.findPauseEndMs(
          context.service.serviceId,
        ),
        random: Math.random(),
      });
      return refuse({ type: "not_run", reason, retryAfterMs });
    }
    return remainingMs(context) <= 0
      ? refuse({ type: "timed_out", reason })
      : refuse({ type: "may_have_run", reason });
  }

  // A runner may answer otherwise without having run the request.
  #recordServed(context: RequestContext): void {
    const { quarantine } = this.#dependencies;
    if (!quarantine.isEmpty)
      quarantine.recordSuccess(context.computeFingerprint());
  }

  #firstByteTimeoutMs(
    { route, receivedAtMs }: RequestContext,
    progress: RelayProgress,
  ): number | undefined {
    const isLast = progress.executionCount + 1 >= route.maxAttempts;
    if (!mayRetry(route.retryPolicy) || isLast) return undefined;
    const elapsedMs = monotonicMs() - receivedAtMs;
    const share =
      route.retryPolicy.type === "stream"
        ? STREAM_FIRST_BYTE_SHARE
        : FIRST_BYTE_SHARE;
    const leftMs = route.targetLatencyMs * share - elapsedMs;
    return leftMs > 0 ? leftMs : undefined;
  }
}

function isSuccess({ statusCode }: RunnerResponse): boolean {
  return statusCode >= 200 && statusCode < 300;
}

function refuse(refusal: Refusal): FinalOutcome {
  return { type: "refused", refusal };
}
