import { SuspectRunnerPool } from "@jujubeladder/coordination";
import type { Admission, SchedulingRequest } from "@jujubeladder/scheduling";
import { Deadline, sleep } from "@jujubeladder/utils";
import type { GenerationWork } from "./generation_work.js";
import type { PlacementOutcome } from "./placement_outcome.js";
import type { RelayDependencies } from "./relay_dependencies.js";
import { toSchedulingRequest } from "./to_scheduling_request.js";

const SUSPECT_POLL_MS = 50;

/** Whether a request may run on any runner, on one only, or on none. */
type SuspectCheck =
  | { readonly type: "quarantined" | "busy" }
  | { readonly type: "allowed"; readonly runnerId: string | undefined };

/**
 * Places each attempt on a runner. Requests suspected of crashing runners are
 * isolated from each other.
 */
export class GenerationPlacer {
  readonly #dependencies: RelayDependencies;
  readonly #suspectPool = new SuspectRunnerPool();

  constructor(dependencies: RelayDependencies) {
    this.#dependencies = dependencies;
  }

  /** Waits for admission to a runner that has not been tried. */
  async place(
    work: GenerationWork,
    options: {
      readonly excludedRunnerIds: ReadonlySet<string>;
      readonly fingerprint: string;
      readonly signal: AbortSignal;
    },
  ): Promise<PlacementOutcome> {
    const { excludedRunnerIds, fingerprint, signal } = options;
    const check = await this.#checkSuspect(work, fingerprint, signal);
    if (check.type !== "allowed") {
      const reason = describeSuspectRefusal(check.type);
      return { type: "failed", reason, retryAfterMs: undefined };
    }
    const onlyRunnerId = check.runnerId;
    const request = toSchedulingRequest(work, {
      excludedRunnerIds,
      onlyRunnerId,
    });
    const admission = await this.#admit(request, signal);
    this.#logAdmission(work, admission);
    const releaseSuspectRunner = () => {
      if (onlyRunnerId !== undefined) this.#suspectPool.release(onlyRunnerId);
    };
    switch (admission.type) {
      case "admitted":
        return {
          type: "placed",
          admission,
          release: () => {
            admission.lease.release();
            releaseSuspectRunner();
          },
        };
      case "refused": {
        releaseSuspectRunner();
        this.#dependencies.metrics.count("refusals");
        const { reason, retryAfterMs } = admission;
        return { type: "failed", reason, retryAfterMs };
      }
    }
  }

  async #admit(
    request: SchedulingRequest,
    signal: AbortSignal,
  ): Promise<Admission> {
    const scheduler = this.#dependencies.getScheduler(request.serviceId);
    return await new Promise((resolve) => {
      const onAbort = () => {
        if (!scheduler.cancel(request.requestId)) return;
        const reason = "the caller left";
        resolve({ type: "refused", reason, queuedMs: 0, retryAfterMs: 0 });
      };
      signal.addEventListener("abort", onAbort, { once: true });
      scheduler.submit(request, (admission) => {
        signal.removeEventListener("abort", onAbort);
        resolve(admission);
      });
    });
  }

  // A suspect waits until there is a runner on which no other suspect runs.
  async #checkSuspect(
    work: GenerationWork,
    fingerprint: string,
    signal: AbortSignal,
  ): Promise<SuspectCheck> {
    const deadline = new Deadline(work.settings.queueTimeoutMs);
    for (;;) {
      const status = this.#dependencies.quarantine.status(fingerprint);
      if (status.type === "quarantined") return { type: "quarantined" };
      if (deadline.hasPassed) return { type: "busy" };
      if (status.type === "clear" || signal.aborted) {
        return { type: "allowed", runnerId: undefined };
      }
      const usable = this.#dependencies.monitor.listUsable(
        work.request.serviceId,
      );
      const runnerId = this.#suspectPool.tryAcquire({
        fingerprint,
        instanceId: this.#dependencies.instanceId,
        instanceIds: this.#dependencies.listInstanceIds(),
        runnerIds: usable.map((runner) => runner.runnerId),
        lostRunners: status.lostRunners,
      });
      if (runnerId !== undefined) return { type: "allowed", runnerId };
      await sleep(SUSPECT_POLL_MS, signal);
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
    this.#dependencies.metrics.count("decisions");
    this.#dependencies.metrics.record("queue_wait_ms", admission.queuedMs);
    switch (admission.type) {
      case "admitted": {
        const { figures } = admission;
        this.#dependencies.logger.info("decision", {
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
        this.#dependencies.logger.info("decision", {
          decision: "refuse",
          ...common,
          reason: admission.reason,
        });
    }
  }
}

function describeSuspectRefusal(type: "quarantined" | "busy"): string {
  switch (type) {
    case "quarantined":
      return "the request is quarantined: it has cost two runners";
    case "busy":
      return "no runner was free for a request that has cost a runner";
  }
}
