import type { Membership, Quarantine } from "@jujubeladder/coordination";
import { SuspectLane } from "@jujubeladder/coordination";
import type { Logger } from "@jujubeladder/logger";
import type {
  Admission,
  RetryBudget,
  Scheduler,
  SchedulingRequest,
} from "@jujubeladder/scheduling";
import type {
  GenerationEvent,
  Outcome,
  Runner,
  StreamHandle,
} from "@jujubeladder/types";
import { EngineClient } from "@jujubeladder/upstream";
import {
  computeBackoffMs,
  computeFingerprint,
  createId,
  Deadline,
  hashText,
  monotonicMs,
  sleep,
  type SealBox,
} from "@jujubeladder/utils";
import type { Metrics } from "../metrics/metrics.js";
import type { AttemptEnd } from "./attempt_end.js";
import { GenerationReader } from "./generation_reader.js";
import type { GenerationWork } from "./generation_work.js";
import type { RunnerAccess } from "./runner_access.js";

const CHARACTERS_PER_TOKEN = 4;
const LANE_POLL_MS = 50;
const SHORT_PRIORITY_BONUS_MS = 10_000;

/** What the relay needs of the instance. */
interface RelayParts {
  readonly instanceId: string;
  readonly access: RunnerAccess;
  readonly findRunner: (runnerId: string) => Runner | undefined;
  readonly listInstanceIds: () => readonly string[];
  readonly schedulerOf: (serviceId: string) => Scheduler;
  readonly budgetOf: (serviceId: string) => RetryBudget;
  readonly quarantine: Quarantine;
  readonly membership: Membership;
  readonly sealBox: SealBox;
  readonly fingerprintSecret: string;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/** A place at a runner, taken for one attempt. */
interface Place {
  readonly admission: Extract<Admission, { type: "admitted" }>;
  readonly laneRunnerId: string | undefined;
}

/** What is known over all attempts of one request. */
interface Progress {
  readonly excluded: Set<string>;
  outcome: Outcome;
  reason: string;
}

/**
 * Serves one generation: places it, reads it, and starts it anew elsewhere
 * only while nothing of it has reached the caller.
 */
export class GenerationRelay {
  readonly #parts: RelayParts;
  readonly #lane = new SuspectLane();

  constructor(parts: RelayParts) {
    this.#parts = parts;
  }

  /** Yields tokens and one last event, finished or failed. */
  async *run(
    work: GenerationWork,
    signal: AbortSignal,
  ): AsyncGenerator<GenerationEvent, void, void> {
    const { request, settings, service } = work;
    const fingerprint = this.#fingerprint(work);
    const progress: Progress = {
      excluded: new Set(),
      outcome: "not_run",
      reason: "",
    };
    const budget = this.#parts.budgetOf(request.serviceId);
    budget.noteFirstAttempt(settings.retryBudgetPercent);
    for (let attempt = 1; attempt <= settings.maxAttempts; attempt += 1) {
      if (attempt > 1 && !(await this.#mayRetry(work, attempt, signal))) break;
      const place = await this.#takePlace(work, progress, fingerprint, signal);
      if (place.type === "failed") {
        yield fail(progress, place.reason, place.retryAfterMs);
        return;
      }
      const end = yield* this.#attempt(work, place.place, fingerprint, signal);
      if (end.type === "finished") return;
      progress.excluded.add(place.place.admission.runnerId);
      progress.reason = end.reason;
      if (end.type === "not_started") continue;
      progress.outcome = end.outcome;
      const mayRerun = service.isIdempotent && end.sentTokens === 0;
      if (!mayRerun || signal.aborted) {
        yield fail(progress, end.reason, undefined, end.sentTokens);
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
    if (end.type === "finished") return;
    const outcome = end.type === "lost" ? end.outcome : "may_have_run";
    yield {
      type: "failed",
      outcome,
      reason: end.reason,
      sentTokens: reader.nextOffset,
    };
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

  async #takePlace(
    work: GenerationWork,
    progress: Progress,
    fingerprint: string,
    signal: AbortSignal,
  ): Promise<
    | { readonly type: "placed"; readonly place: Place }
    | {
        readonly type: "failed";
        readonly reason: string;
        readonly retryAfterMs: number | undefined;
      }
  > {
    const lane = await this.#enterLane(work, fingerprint, signal);
    if (lane.type !== "open") return laneFailure(lane.type);
    const request = toSchedulingRequest(work, progress, lane.runnerId);
    const scheduler = this.#parts.schedulerOf(request.serviceId);
    const admission = await new Promise<Admission>((resolve) => {
      const withdraw = () => {
        if (!scheduler.withdraw(request.requestId)) return;
        const reason = "the caller left";
        resolve({ type: "refused", reason, queuedMs: 0, retryAfterMs: 0 });
      };
      signal.addEventListener("abort", withdraw, { once: true });
      scheduler.submit(request, (answer) => {
        signal.removeEventListener("abort", withdraw);
        resolve(answer);
      });
    });
    this.#logAdmission(work, admission);
    if (admission.type === "admitted") {
      const laneRunnerId = lane.runnerId;
      return { type: "placed", place: { admission, laneRunnerId } };
    }
    if (lane.runnerId !== undefined) this.#lane.release(lane.runnerId);
    this.#parts.metrics.count("refusals");
    const { reason, retryAfterMs } = admission;
    return { type: "failed", reason, retryAfterMs };
  }

  // A suspect waits for a runner on which no other suspect runs.
  async #enterLane(
    work: GenerationWork,
    fingerprint: string,
    signal: AbortSignal,
  ): Promise<
    | { readonly type: "quarantined" | "busy" }
    | { readonly type: "open"; readonly runnerId: string | undefined }
  > {
    const deadline = new Deadline(work.settings.queueTimeoutMs);
    for (;;) {
      const status = this.#parts.quarantine.status(fingerprint);
      if (status.type === "quarantined") return { type: "quarantined" };
      if (deadline.hasPassed) return { type: "busy" };
      if (status.type === "clear" || signal.aborted) {
        return { type: "open", runnerId: undefined };
      }
      const usable = this.#parts.access.listUsable(work.request.serviceId);
      const runnerId = this.#lane.tryTake({
        fingerprint,
        instanceId: this.#parts.instanceId,
        instanceIds: this.#parts.listInstanceIds(),
        runnerIds: usable.map((runner) => runner.runnerId),
        lostRunners: status.lostRunners,
      });
      if (runnerId !== undefined) return { type: "open", runnerId };
      await sleep(LANE_POLL_MS, signal);
    }
  }

  async *#attempt(
    work: GenerationWork,
    place: Place,
    fingerprint: string,
    signal: AbortSignal,
  ): AsyncGenerator<
    GenerationEvent,
    | Exclude<AttemptEnd, { type: "lost" }>
    | (Extract<AttemptEnd, { type: "lost" }> & { readonly sentTokens: number })
  > {
    const { lease, runnerId } = place.admission;
    try {
      const started = await this.#start(work, runnerId, lease, signal);
      if (started.type !== "reading") return this.#noteEnd(runnerId, started);
      const { reader, read } = started;
      const end = work.request.isStreamed
        ? yield* read
        : yield* collectWhole(read);
      if (end.type === "finished") {
        const scheduler = this.#parts.schedulerOf(work.request.serviceId);
        scheduler.lengths.record(work.request, reader.nextOffset);
        this.#parts.quarantine.noteServed(fingerprint);
        this.#parts.metrics.countOutcome("completed");
        return end;
      }
      this.#noteEnd(runnerId, end);
      if (end.type !== "lost") return end;
      await this.#noteLost(fingerprint, runnerId, end);
      const sentTokens = work.request.isStreamed ? reader.nextOffset : 0;
      return { ...end, sentTokens };
    } finally {
      lease.release();
      if (place.laneRunnerId !== undefined) {
        this.#lane.release(place.laneRunnerId);
      }
    }
  }

  async #start(
    work: GenerationWork,
    runnerId: string,
    lease: { readonly progress: (producedTokens: number) => void },
    signal: AbortSignal,
  ): Promise<
    | Extract<AttemptEnd, { type: "not_started" }>
    | {
        readonly type: "reading";
        readonly reader: GenerationReader;
        readonly read: AsyncGenerator<GenerationEvent, AttemptEnd, void>;
      }
  > {
    const runner = this.#parts.findRunner(runnerId);
    if (!runner) return notStarted("the runner is no longer listed");
    const { request, settings } = work;
    const generationId = createId();
    const { host, port } = runner;
    const { serviceId, teamId } = request;
    const reader = new GenerationReader(
      { serviceId, teamId, runnerId, host, port, generationId },
      {
        silenceMs: settings.silenceMs,
        resumeWindowMs: settings.resumeWindowMs,
        firstOffset: 0,
        sealBox: this.#parts.sealBox,
        metrics: this.#parts.metrics,
        signal,
        onProgress: (producedTokens) => {
          lease.progress(producedTokens);
        },
      },
    );
    const confirmed = await this.#parts.access.confirm(runner, "engine");
    if (!confirmed.ok) return notStarted(confirmed.error);
    const openedAtMs = monotonicMs();
    const outcome = await new EngineClient(runner).openGeneration(request, {
      generationId,
      priority: toPriority(work),
      silenceMs: settings.silenceMs,
      signal,
    });
    switch (outcome.type) {
      case "opened": {
        const read = this.#timeFirstToken(
          reader.read(outcome.stream),
          openedAtMs,
        );
        return { type: "reading", reader, read };
      }
      case "refused":
        return { ...notStarted(outcome.reason), isLeaving: outcome.isLeaving };
      case "unreachable":
        return { ...notStarted(outcome.reason), isUnreachable: true };
      case "missing":
      case "unknown":
        // It may have started: look for the generation at the runner.
        return { type: "reading", reader, read: reader.read() };
    }
  }

  async *#timeFirstToken(
    read: AsyncGenerator<GenerationEvent, AttemptEnd, void>,
    openedAtMs: number,
  ): AsyncGenerator<GenerationEvent, AttemptEnd, void> {
    const first = await read.next();
    if (first.done) return first.value;
    const elapsedMs = monotonicMs() - openedAtMs;
    this.#parts.metrics.record("first_token_ms", elapsedMs);
    yield first.value;
    return yield* read;
  }

  #noteEnd<End extends AttemptEnd>(runnerId: string, end: End): End {
    if (end.type === "not_started") {
      if (end.isLeaving) this.#parts.access.noteLeaving(runnerId, "runner");
      if (end.isUnreachable) this.#parts.access.health.noteFailure(runnerId);
    }
    if (end.type === "lost") this.#parts.access.health.noteFailure(runnerId);
    return end;
  }

  // Peers know of the loss before the caller can send the request again.
  async #noteLost(
    fingerprint: string,
    runnerId: string,
    end: Extract<AttemptEnd, { type: "lost" }>,
  ): Promise<void> {
    this.#parts.logger.warn("runner_lost", {
      runner: runnerId,
      reason: end.reason,
      is_crash: end.isCrash,
    });
    if (!end.isCrash) return;
    this.#parts.metrics.count("runners_lost");
    this.#parts.quarantine.noteLosses(fingerprint, [runnerId]);
    await this.#parts.membership.pushToAll();
  }

  #fingerprint(work: GenerationWork): string {
    const { serviceId, messages } = work.request;
    return computeFingerprint(
      this.#parts.fingerprintSecret,
      JSON.stringify([serviceId, messages]),
    );
  }

  #logAdmission(work: GenerationWork, admission: Admission): void {
    const { requestId, teamId, serviceId, kindId } = work.request;
    const common = {
      request: requestId,
      team: teamId,
      service: serviceId,
      kind: kindId,
      queued_ms: admission.queuedMs,
    };
    this.#parts.metrics.count("decisions");
    this.#parts.metrics.record("queue_wait_ms", admission.queuedMs);
    switch (admission.type) {
      case "admitted": {
        const { figures } = admission;
        this.#parts.logger.info("decision", {
          decision: "place",
          ...common,
          runner: admission.runnerId,
          candidates: admission.candidates,
          score: figures.score,
          predicted_peak_share: figures.predictedPeakShare,
          running_streams: figures.runningStreams,
          is_prefix_hit: figures.isPrefixHit,
          is_same_region: figures.isSameRegion,
          report_age_ms: figures.reportAgeMs,
        });
        return;
      }
      case "refused":
        this.#parts.logger.info("decision", {
          decision: "refuse",
          ...common,
          reason: admission.reason,
        });
    }
  }
}

// Holds the answer back until it is whole, so that it can be started anew
// at any time before.
async function* collectWhole(
  read: AsyncGenerator<GenerationEvent, AttemptEnd, void>,
): AsyncGenerator<GenerationEvent, AttemptEnd, void> {
  const texts: string[] = [];
  let handle = "";
  for (;;) {
    const { done, value } = await read.next();
    if (done) return value;
    if (value.type === "token") {
      texts.push(value.text);
      handle = value.handle;
      continue;
    }
    yield { type: "token", text: texts.join(""), offset: 0, handle };
    yield value;
  }
}

function laneFailure(type: "quarantined" | "busy"): {
  readonly type: "failed";
  readonly reason: string;
  readonly retryAfterMs: number | undefined;
} {
  const reason =
    type === "quarantined"
      ? "the request is quarantined: it has cost two runners"
      : "no runner was free for a request that has cost a runner";
  return { type: "failed", reason, retryAfterMs: undefined };
}

function toSchedulingRequest(
  work: GenerationWork,
  progress: Progress,
  laneRunnerId: string | undefined,
): SchedulingRequest {
  const { request, kind, teamWeight, settings } = work;
  const content = request.messages.map((message) => message.content).join("\n");
  return {
    requestId: request.requestId,
    serviceId: request.serviceId,
    teamId: request.teamId,
    teamWeight,
    kindId: kind.kindId,
    isShort: kind.isShort,
    promptTokens: Math.ceil(content.length / CHARACTERS_PER_TOKEN),
    maxTokens: request.maxTokens,
    prefixKey: String(hashText(request.messages[0]?.content ?? "")),
    settings,
    excludedRunnerIds: progress.excluded,
    ...(laneRunnerId === undefined
      ? {}
      : { allowedRunnerIds: new Set([laneRunnerId]) }),
  };
}

// Engines preempt the highest number first: the youngest stream.
function toPriority(work: GenerationWork): number {
  return Date.now() - (work.kind.isShort ? SHORT_PRIORITY_BONUS_MS : 0);
}

function notStarted(
  reason: string,
): Extract<AttemptEnd, { type: "not_started" }> {
  return {
    type: "not_started",
    reason,
    isLeaving: false,
    isUnreachable: false,
  };
}

function fail(
  progress: Progress,
  reason: string,
  retryAfterMs?: number,
  sentTokens = 0,
): GenerationEvent {
  return {
    type: "failed",
    outcome: progress.outcome,
    reason,
    sentTokens,
    ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
  };
}
