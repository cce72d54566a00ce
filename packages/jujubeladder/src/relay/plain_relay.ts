import type { Logger } from "@jujubeladder/logger";
import { makeResult } from "@jujubeladder/coordination";
import { choosePlainRunner, type RetryBudget } from "@jujubeladder/scheduling";
import type {
  RequestSettings,
  Runner,
  SubmissionResult,
} from "@jujubeladder/types";
import { PlainServiceClient, type PlainOutcome } from "@jujubeladder/upstream";
import { computeBackoffMs, sleep } from "@jujubeladder/utils";
import type { Metrics } from "@jujubeladder/metrics";
import type { PlainCall } from "./plain_call.js";
import type { RunnerMonitor } from "./runner_monitor.js";

/** Dependencies of the relay, provided by the instance. */
interface PlainRelayDependencies {
  readonly region: string;
  readonly monitor: RunnerMonitor;
  readonly getRetryBudget: (serviceId: string) => RetryBudget;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/**
 * Calls plain services. Within the attempt limit and the retry budget, a call
 * that certainly did not run is always retried; one that may have run is
 * retried only on idempotent routes.
 */
export class PlainRelay {
  readonly #dependencies: PlainRelayDependencies;
  readonly #activeCalls = new Map<string, number>();

  constructor(dependencies: PlainRelayDependencies) {
    this.#dependencies = dependencies;
  }

  async run(
    call: PlainCall,
    settings: RequestSettings,
  ): Promise<SubmissionResult> {
    const budget = this.#dependencies.getRetryBudget(call.serviceId);
    budget.recordFirstAttempt(settings.retryBudgetPercent);
    const tried: Runner[] = [];
    let lastResult = makeResult("not_run", "no runner is left to try");
    for (let attempt = 1; attempt <= settings.maxAttempts; attempt += 1) {
      if (attempt > 1) {
        if (!budget.tryAcquire()) break;
        this.#dependencies.metrics.count("retries");
        await sleep(computeBackoffMs(attempt - 2));
      }
      const runner = this.#chooseRunner(call, tried);
      if (!runner) break;
      tried.push(runner);
      const outcome = await this.#callRunner(runner, call, settings);
      const result = this.#toResult(runner, outcome);
      if (result.outcome === "completed") return result;
      // A later failure must not hide that an earlier attempt may have run.
      if (lastResult.outcome !== "may_have_run") lastResult = result;
      if (result.outcome === "may_have_run" && !call.isIdempotent) break;
    }
    return lastResult;
  }

  #chooseRunner(call: PlainCall, tried: readonly Runner[]): Runner | undefined {
    const usable = this.#dependencies.monitor.listUsable(call.serviceId);
    const candidates = listCandidates(usable, tried);
    const runner = choosePlainRunner(candidates, {
      region: this.#dependencies.region,
      activeCalls: (runnerId) => this.#activeCalls.get(runnerId) ?? 0,
      random: Math.random,
    });
    this.#dependencies.metrics.count("decisions");
    this.#dependencies.logger.info("decision", {
      decision: runner ? "place" : "refuse",
      request: call.requestId,
      team: call.teamId,
      service: call.serviceId,
      runner: runner?.runnerId,
      candidates: candidates.length,
      is_idempotent: call.isIdempotent,
    });
    return runner;
  }

  async #callRunner(
    runner: Runner,
    call: PlainCall,
    settings: RequestSettings,
  ): Promise<PlainOutcome> {
    const confirmed = await this.#dependencies.monitor.confirmAvailable(
      runner,
      "plain",
    );
    if (!confirmed.ok) {
      return { type: "refused", reason: confirmed.error, isLeaving: false };
    }
    this.#countActive(runner.runnerId, 1);
    try {
      return await new PlainServiceClient(runner).call(call, {
        timeoutMs: settings.requestTimeoutMs,
      });
    } finally {
      this.#countActive(runner.runnerId, -1);
    }
  }

  #toResult(runner: Runner, outcome: PlainOutcome): SubmissionResult {
    const { monitor } = this.#dependencies;
    switch (outcome.type) {
      case "answered":
        monitor.health.recordSuccess(runner.runnerId);
        return {
          outcome: "completed",
          statusCode: outcome.statusCode,
          contentType: outcome.contentType,
          body: outcome.body,
          reason: "",
        };
      case "refused":
        if (outcome.isLeaving) monitor.markLeaving(runner.runnerId, "runner");
        return makeResult("not_run", outcome.reason);
      case "unreachable":
        monitor.health.recordFailure(runner.runnerId);
        return makeResult("not_run", outcome.reason);
      case "unknown":
        monitor.health.recordFailure(runner.runnerId);
        return makeResult("may_have_run", outcome.reason);
    }
  }

  #countActive(runnerId: string, delta: number): void {
    const calls = (this.#activeCalls.get(runnerId) ?? 0) + delta;
    if (calls === 0) this.#activeCalls.delete(runnerId);
    else this.#activeCalls.set(runnerId, calls);
  }
}

// A retry prefers availability zones in which no attempt has failed.
function listCandidates(
  usable: readonly Runner[],
  tried: readonly Runner[],
): readonly Runner[] {
  const triedIds = new Set(tried.map((runner) => runner.runnerId));
  const triedZones = new Set(tried.map((runner) => runner.availabilityZone));
  const untried = usable.filter((runner) => !triedIds.has(runner.runnerId));
  const inOtherZones = untried.filter(
    (runner) => !triedZones.has(runner.availabilityZone),
  );
  return inOtherZones.length > 0 ? inOtherZones : untried;
}
