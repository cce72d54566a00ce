import type {
  GenerationEvent,
  Outcome,
  StreamHandle,
} from "@jujubeladder/types";
import {
  computeBackoffMs,
  computeFingerprint,
  sleep,
} from "@jujubeladder/utils";
import type { AttemptResult } from "./attempt_result.js";
import { bufferGeneration } from "./buffer_generation.js";
import { GenerationPlacer } from "./generation_placer.js";
import { GenerationReader } from "./generation_reader.js";
import { GenerationStarter } from "./generation_starter.js";
import type { GenerationWork } from "./generation_work.js";
import type { PlacementOutcome } from "./placement_outcome.js";
import type { RelayDependencies } from "./relay_dependencies.js";

type Placement = Extract<PlacementOutcome, { type: "placed" }>;
type Lost = Extract<AttemptResult, { type: "lost" }>;

/** State kept across the attempts of one request. */
interface Progress {
  readonly excludedRunnerIds: Set<string>;
  outcome: Outcome;
  reason: string;
}

/**
 * Serves one generation: places it, relays its events, and retries it on
 * another runner only while no output has reached the caller. A generation that
 * may have run is retried only if the service is idempotent.
 */
export class GenerationRelay {
  readonly #dependencies: RelayDependencies;
  readonly #placer: GenerationPlacer;
  readonly #starter: GenerationStarter;

  constructor(dependencies: RelayDependencies) {
    this.#dependencies = dependencies;
    this.#placer = new GenerationPlacer(dependencies);
    this.#starter = new GenerationStarter(dependencies);
  }

  /**
   * Yields token events and a final event, finished or failed. There may be no
   * final event if the caller disconnects.
   */
  async *run(
    work: GenerationWork,
    signal: AbortSignal,
  ): AsyncGenerator<GenerationEvent, void, void> {
    const { request, settings, service } = work;
    const fingerprint = this.#fingerprint(work);
    const excludedRunnerIds = new Set<string>();
    const progress: Progress = {
      excludedRunnerIds,
      outcome: "not_run",
      reason: "",
    };
    const budget = this.#dependencies.getRetryBudget(request.serviceId);
    budget.recordFirstAttempt(settings.retryBudgetPercent);
    for (let attempt = 1; attempt <= settings.maxAttempts; attempt += 1) {
      if (attempt > 1 && !(await this.#acquireRetry(work, attempt, signal)))
        break;
      const placement = await this.#placer.place(work, {
        excludedRunnerIds,
        fingerprint,
        signal,
      });
      if (placement.type === "failed") {
        yield toFailedEvent(progress, placement.reason, {
          retryAfterMs: placement.retryAfterMs,
        });
        return;
      }
      const result = yield* this.#attempt(work, placement, fingerprint, signal);
      if (result.type === "finished" || result.type === "abandoned") return;
      excludedRunnerIds.add(placement.admission.runnerId);
      progress.reason = result.reason;
      if (result.type === "not_started") continue;
      // A later attempt must not hide that an earlier one ran.
      if (progress.outcome !== "ran_incomplete") {
        progress.outcome = result.outcome;
      }
      const { sentTokens } = result;
      const canRerun = service.isIdempotent && sentTokens === 0;
      if (!canRerun) {
        yield toFailedEvent(progress, result.reason, { sentTokens });
        return;
      }
    }
    yield toFailedEvent(progress, progress.reason);
  }

  /** Resumes a running generation for a caller that has reconnected. */
  async *resume(
    handle: StreamHandle,
    firstOffset: number,
    options: {
      readonly silenceMs: number;
      readonly resumeWindowMs: number;
      readonly signal: AbortSignal;
    },
  ): AsyncGenerator<GenerationEvent, void, void> {
    const reader = new GenerationReader(handle, {
      ...options,
      firstOffset,
      sealBox: this.#dependencies.sealBox,
      metrics: this.#dependencies.metrics,
      onProgress: () => undefined,
    });
    this.#dependencies.logger.info("decision", {
      decision: "resume",
      generation: handle.generationId,
      runner: handle.runnerId,
      offset: firstOffset,
    });
    const result = yield* reader.read();
    if (result.type === "finished" || result.type === "abandoned") return;
    const outcome = result.type === "lost" ? result.outcome : "may_have_run";
    const { reason } = result;
    const sentTokens = reader.nextOffset;
    yield { type: "failed", outcome, reason, sentTokens };
  }

  async #acquireRetry(
    work: GenerationWork,
    attempt: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { request } = work;
    const isAllowed = this.#dependencies
      .getRetryBudget(request.serviceId)
      .tryAcquire();
    this.#dependencies.logger.info("retry", {
      request: request.requestId,
      attempt,
      is_allowed: isAllowed,
    });
    if (!isAllowed) return false;
    this.#dependencies.metrics.count("retries");
    await sleep(computeBackoffMs(attempt - 2), signal);
    return !signal.aborted;
  }

  async *#attempt(
    work: GenerationWork,
    placement: Placement,
    fingerprint: string,
    signal: AbortSignal,
  ): AsyncGenerator<
    GenerationEvent,
    Exclude<AttemptResult, Lost> | (Lost & { readonly sentTokens: number })
  > {
    const { lease, runnerId } = placement.admission;
    try {
      const options = { runnerId, lease, signal };
      const started = await this.#starter.start(work, options);
      if (started.type === "not_started") {
        this.#recordNotStarted(runnerId, started);
        return started;
      }
      const { reader, events } = started;
      const { isStreamed } = work.request;
      const result = yield* isStreamed ? events : bufferGeneration(events);
      switch (result.type) {
        case "finished":
          this.#recordFinished(work, reader.nextOffset, fingerprint);
          return result;
        case "not_started":
          return result;
        case "abandoned":
          // A caller can resume a stream by its handle, but has no handle of
          // a buffered generation.
          if (!isStreamed) await reader.cancel();
          return result;
        case "lost": {
          await this.#recordLost(fingerprint, runnerId, result);
          const sentTokens = isStreamed ? reader.nextOffset : 0;
          if (sentTokens === 0) void reader.cancel();
          return { ...result, sentTokens };
        }
      }
    } finally {
      placement.release();
    }
  }

  #recordNotStarted(
    runnerId: string,
    result: Extract<AttemptResult, { type: "not_started" }>,
  ): void {
    const { monitor } = this.#dependencies;
    if (result.isLeaving) monitor.markLeaving(runnerId, "runner");
    if (result.isUnreachable) monitor.health.recordFailure(runnerId);
  }

  #recordFinished(
    work: GenerationWork,
    tokenCount: number,
    fingerprint: string,
  ): void {
    const scheduler = this.#dependencies.getScheduler(work.request.serviceId);
    scheduler.lengthModel.record(work.request, tokenCount);
    this.#dependencies.quarantine.recordSuccess(fingerprint);
    this.#dependencies.metrics.countOutcome("completed");
  }

  // Waits for the push, so that peers know of the loss before the caller can
  // send the request again.
  async #recordLost(
    fingerprint: string,
    runnerId: string,
    result: Lost,
  ): Promise<void> {
    this.#dependencies.monitor.health.recordFailure(runnerId);
    this.#dependencies.logger.warn("runner_lost", {
      runner: runnerId,
      reason: result.reason,
      is_crash: result.isCrash,
    });
    if (!result.isCrash) return;
    this.#dependencies.metrics.count("runners_lost");
    this.#dependencies.quarantine.recordLosses(fingerprint, [runnerId]);
    await this.#dependencies.membership.pushToAll();
  }

  #fingerprint(work: GenerationWork): string {
    const { serviceId, messages } = work.request;
    return computeFingerprint(
      this.#dependencies.fingerprintSecret,
      JSON.stringify([serviceId, messages]),
    );
  }
}

function toFailedEvent(
  progress: Progress,
  reason: string,
  options: {
    readonly retryAfterMs?: number | undefined;
    readonly sentTokens?: number;
  } = {},
): GenerationEvent {
  const { retryAfterMs, sentTokens = 0 } = options;
  return {
    type: "failed",
    outcome: progress.outcome,
    reason,
    sentTokens,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  };
}
