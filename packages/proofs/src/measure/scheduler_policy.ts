import { Scheduler } from "@jujubeladder/scheduling";
import type { RequestSettings, RunnerLoad } from "@jujubeladder/types";
import type { Arrival } from "./arrival.js";
import type { Deployment } from "./deployment.js";
import type { Policy } from "./policy.js";

const SERVICE_ID = "service";

const SETTINGS: RequestSettings = {
  maxAttempts: 3,
  retryBudgetPercent: 10,
  silenceMs: 2_000,
  resumeWindowMs: 20_000,
  queueTimeoutMs: 60_000,
  requestTimeoutMs: 30_000,
  maxTokens: 8_000,
  admissionQuantile: 0.99,
  maxTeamShare: 0.4,
};

/** Runs the product's scheduler as a policy in the simulation. */
export class SchedulerPolicy implements Policy {
  readonly #scheduler: Scheduler;
  readonly #regionOf: (runnerId: string) => string;

  constructor(
    deployment: Deployment,
    options: {
      readonly index: number;
      readonly region: string;
      readonly regionOf: (runnerId: string) => string;
      readonly nowMs: () => number;
      readonly random: () => number;
    },
  ) {
    const { region, nowMs, random } = options;
    const { objective } = deployment;
    this.#regionOf = options.regionOf;
    const wallClockMs = nowMs;
    this.#scheduler = new Scheduler({
      region,
      objective,
      nowMs,
      wallClockMs,
      random,
    });
    const instanceIds = Array.from(
      { length: deployment.instances },
      (_, index) => `entry-${index}`,
    );
    this.#scheduler.setInstances(`entry-${options.index}`, instanceIds);
  }

  submit(arrival: Arrival, onDecision: Parameters<Policy["submit"]>[1]): void {
    const request = {
      ...toLengthKey(arrival),
      requestId: arrival.requestId,
      teamWeight: 1,
      isShort: arrival.isShort,
      promptTokens: arrival.promptTokens,
      maxTokens: SETTINGS.maxTokens,
      prefixKey: "",
      settings: SETTINGS,
      excludedRunnerIds: new Set<string>(),
    };
    this.#scheduler.submit(request, (admission) => {
      switch (admission.type) {
        case "refused":
          onDecision({ type: "refused" });
          return;
        case "admitted": {
          const { runnerId, lease } = admission;
          onDecision({ type: "placed", runnerId, lease });
        }
      }
    });
  }

  updateLoad(load: RunnerLoad): void {
    this.#scheduler.updateLoad(load);
  }

  setUsableRunners(runnerIds: readonly string[]): void {
    this.#scheduler.setUsableRunners(
      runnerIds.map((runnerId) => ({
        runnerId,
        region: this.#regionOf(runnerId),
      })),
    );
  }

  recordCompletion(arrival: Arrival): void {
    this.#scheduler.lengthModel.record(
      toLengthKey(arrival),
      arrival.outputTokens,
    );
  }

  dispatchQueued(): void {
    this.#scheduler.dispatchQueued();
  }
}

function toLengthKey(arrival: Arrival): {
  readonly serviceId: string;
  readonly kindId: string;
  readonly teamId: string;
} {
  const { kindId, teamId } = arrival;
  return { serviceId: SERVICE_ID, kindId, teamId };
}
