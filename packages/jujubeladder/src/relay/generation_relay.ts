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
import type { AttemptEnd } from "./attempt_end.js";
import { collectWhole } from "./collect_whole.js";
import { GenerationPlacer } from "./generation_placer.js";
import { GenerationReader } from "./generation_reader.js";
import { GenerationStarter } from "./generation_starter.js";
import type { GenerationWork } from "./generation_work.js";
import type { PlaceOutcome } from "./place_outcome.js";
import type { RelayParts } from "./relay_parts.js";

type Place = Extract<PlaceOutcome, { type: "placed" }>;
type Lost = Extract<AttemptEnd, { type: "lost" }>;

/** What is known over all attempts of one request. */
interface Progress {
  readonly excludedRunnerIds: Set<string>;
  outcome: Outcome;
  reason: string;
}

/**
 * Serves one generation: places it, reads it, and starts it anew elsewhere
 * only while nothing of it has reached the caller.
 */
export class GenerationRelay {
  readonly #parts: RelayParts;
  readonly #placer: GenerationPlacer;
  readonly #starter: GenerationStarter;

  constructor(parts: RelayParts) {
    this.#parts = parts;
    this.#placer = new GenerationPlacer(parts);
    this.#starter = new GenerationStarter(parts);
  }

  /** Yields tokens and one last event, finished or failed. */
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
    const budget = this.#parts.budgetOf(request.serviceId);
    budget.noteFirstAttempt(settings.retryBudgetPercent);
    for (let attempt = 1; attempt <= settings.maxAttempts; attempt += 1) {
      if (attempt > 1 && !(await this.#mayRetry(work, attempt, signal))) break;
      const place = await this.#placer.takePlace(work, {
        excludedRunnerIds,
        fingerprint,
        signal,
      });
      if (place.type === "failed") {
        yield fail(progress, place.reason, {
          retryAfterMs: place.retryAfterMs,
        });
        return;
      }
      const end = yield* this.#attempt(work, place, fingerprint, signal);
      if (end.type === "finished" || end.type === "abandoned") return;
      excludedRunnerIds.add(place.admission.runnerId);
      progress.reason = end.reason;
      if (end.type === "not_started") continue;
      progress.outcome = end.outcome;
      const { sentTokens } = end;
      const mayRerun = service.isIdempotent && sentTokens === 0;
      if (!mayRerun) {
        yield fail(progress, end.reason, { sentTokens });
        return;
      }
    }
    yield fail(progress, progress.reason);
  }

  /** Reads a running generation on for a caller that has reconnected. */
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
      sealBox: this.#parts.sealBox,
      metrics: this.#parts.metrics,
      onProgress: () => undefined,
    });
    this.#parts.logger.info("decision", {
      decision: "resume",
      generation: handle.generationId,
      runner: handle.runnerId,
      offset: firstOffset,
    });
    const end = yield* reader.read();
    if (end.type === "finished" || end.type === "abandoned") return;
    const outcome = end.type === "lost" ? end.outcome : "may_have_run";
    const { reason } = end;
    const sentTokens = reader.nextOffset;
    yield { type: "failed", outcome, reason, sentTokens };
  }

  async #mayRetry(
    work: GenerationWork,
    attempt: number,
    signal: AbortSignal,
  ): Promise<boolean> {
    const { request } = work;
    const isAllowed = this.#parts.budgetOf(request.serviceId).tryTake();
    this.#parts.logger.info("retry", {
      request: request.requestId,
      attempt,
      is_allowed: isAllowed,
    });
    if (!isAllowed) return false;
    this.#parts.metrics.count("retries");
    await sleep(computeBackoffMs(attempt - 2), signal);
    return !signal.aborted;
  }

  async *#attempt(
    work: GenerationWork,
    place: Place,
    fingerprint: string,
    signal: AbortSignal,
  ): AsyncGenerator<
    GenerationEvent,
    Exclude<AttemptEnd, Lost> | (Lost & { readonly sentTokens: number })
  > {
    const { lease, runnerId } = place.admission;
    try {
      const options = { runnerId, lease, signal };
      const started = await this.#starter.start(work, options);
      if (started.type === "not_started") {
        this.#noteNotStarted(runnerId, started);
        return started;
      }
      const { reader, read } = started;
      const { isStreamed } = work.request;
      const end = yield* isStreamed ? read : collectWhole(read);
      switch (end.type) {
        case "finished":
          this.#noteFinished(work, reader.nextOffset, fingerprint);
          return end;
        case "not_started":
          return end;
        case "abandoned":
          // A stream may be read on by its handle; nobody has one of a
          // whole answer.
          if (!isStreamed) await reader.cancel();
          return end;
        case "lost": {
          await this.#noteLost(fingerprint, runnerId, end);
          const sentTokens = isStreamed ? reader.nextOffset : 0;
          if (sentTokens === 0) void reader.cancel();
          return { ...end, sentTokens };
        }
      }
    } finally {
      place.release();
    }
  }

  #noteNotStarted(
    runnerId: string,
    end: Extract<AttemptEnd, { type: "not_started" }>,
  ): void {
    const { access } = this.#parts;
    if (end.isLeaving) access.noteLeaving(runnerId, "runner");
    if (end.isUnreachable) access.health.recordFailure(runnerId);
  }

  #noteFinished(
    work: GenerationWork,
    tokenCount: number,
    fingerprint: string,
  ): void {
    const scheduler = this.#parts.schedulerOf(work.request.serviceId);
    scheduler.lengthModel.record(work.request, tokenCount);
    this.#parts.quarantine.recordSuccess(fingerprint);
    this.#parts.metrics.countOutcome("completed");
  }

  // Peers know of the loss before the caller can send the request again.
  async #noteLost(
    fingerprint: string,
    runnerId: string,
    end: Lost,
  ): Promise<void> {
    this.#parts.access.health.recordFailure(runnerId);
    this.#parts.logger.warn("runner_lost", {
      runner: runnerId,
      reason: end.reason,
      is_crash: end.isCrash,
    });
    if (!end.isCrash) return;
    this.#parts.metrics.count("runners_lost");
    this.#parts.quarantine.recordLosses(fingerprint, [runnerId]);
    await this.#parts.membership.pushToAll();
  }

  #fingerprint(work: GenerationWork): string {
    const { serviceId, messages } = work.request;
    return computeFingerprint(
      this.#parts.fingerprintSecret,
      JSON.stringify([serviceId, messages]),
    );
  }
}

function fail(
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
