import { SuspectRunnerPool } from "@jujubeladder/coordination";
import type { Admission, SchedulingRequest } from "@jujubeladder/scheduling";
import { Deadline, sleep } from "@jujubeladder/utils";
import type { GenerationWork } from "./generation_work.js";
import type { PlaceOutcome } from "./place_outcome.js";
import type { RelayParts } from "./relay_parts.js";
import { toSchedulingRequest } from "./to_scheduling_request.js";

const LANE_POLL_MS = 50;

/** Whether a request may go to any runner, to one alone, or to none. */
type LaneEntry =
  | { readonly type: "quarantined" | "busy" }
  | { readonly type: "open"; readonly runnerId: string | undefined };

/** Takes places for attempts; suspects are kept apart from each other. */
export class GenerationPlacer {
  readonly #parts: RelayParts;
  readonly #lane = new SuspectRunnerPool();

  constructor(parts: RelayParts) {
    this.#parts = parts;
  }

  /** Waits for a place at a runner that has not been tried. */
  async takePlace(
    work: GenerationWork,
    options: {
      readonly excludedRunnerIds: ReadonlySet<string>;
      readonly fingerprint: string;
      readonly signal: AbortSignal;
    },
  ): Promise<PlaceOutcome> {
    const { excludedRunnerIds, fingerprint, signal } = options;
    const lane = await this.#enterLane(work, fingerprint, signal);
    if (lane.type !== "open") {
      const reason = describeClosedLane(lane.type);
      return { type: "failed", reason, retryAfterMs: undefined };
    }
    const onlyRunnerId = lane.runnerId;
    const request = toSchedulingRequest(work, {
      excludedRunnerIds,
      onlyRunnerId,
    });
    const admission = await this.#admit(request, signal);
    this.#logAdmission(work, admission);
    const leaveLane = () => {
      if (onlyRunnerId !== undefined) this.#lane.release(onlyRunnerId);
    };
    switch (admission.type) {
      case "admitted":
        return {
          type: "placed",
          admission,
          release: () => {
            admission.lease.release();
            leaveLane();
          },
        };
      case "refused": {
        leaveLane();
        this.#parts.metrics.count("refusals");
        const { reason, retryAfterMs } = admission;
        return { type: "failed", reason, retryAfterMs };
      }
    }
  }

  async #admit(
    request: SchedulingRequest,
    signal: AbortSignal,
  ): Promise<Admission> {
    const scheduler = this.#parts.schedulerOf(request.serviceId);
    return await new Promise((resolve) => {
      const withdraw = () => {
        if (!scheduler.cancel(request.requestId)) return;
        const reason = "the caller left";
        resolve({ type: "refused", reason, queuedMs: 0, retryAfterMs: 0 });
      };
      signal.addEventListener("abort", withdraw, { once: true });
      scheduler.submit(request, (answer) => {
        signal.removeEventListener("abort", withdraw);
        resolve(answer);
      });
    });
  }

  // A suspect waits for a runner on which no other suspect runs.
  async #enterLane(
    work: GenerationWork,
    fingerprint: string,
    signal: AbortSignal,
  ): Promise<LaneEntry> {
    const deadline = new Deadline(work.settings.queueTimeoutMs);
    for (;;) {
      const status = this.#parts.quarantine.status(fingerprint);
      if (status.type === "quarantined") return { type: "quarantined" };
      if (deadline.hasPassed) return { type: "busy" };
      if (status.type === "clear" || signal.aborted) {
        return { type: "open", runnerId: undefined };
      }
      const usable = this.#parts.access.listUsable(work.request.serviceId);
      const runnerId = this.#lane.tryAcquire({
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

function describeClosedLane(type: "quarantined" | "busy"): string {
  switch (type) {
    case "quarantined":
      return "the request is quarantined: it has cost two runners";
    case "busy":
      return "no runner was free for a request that has cost a runner";
  }
}
