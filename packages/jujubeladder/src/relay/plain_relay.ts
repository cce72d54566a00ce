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
import type { RunnerAccess } from "./runner_access.js";

/** What the relay needs of the instance. */
interface PlainRelayParts {
  readonly region: string;
  readonly access: RunnerAccess;
  readonly budgetOf: (serviceId: string) => RetryBudget;
  readonly metrics: Metrics;
  readonly logger: Logger;
}

/**
 * Calls plain services. A call that may have run is repeated only on
 * idempotent routes; one that certainly did not run is always tried again.
 */
export class PlainRelay {
  readonly #parts: PlainRelayParts;
  readonly #activeCalls = new Map<string, number>();

  constructor(parts: PlainRelayParts) {
    this.#parts = parts;
  }

  async run(
    call: PlainCall,
    settings: RequestSettings,
  ): Promise<SubmissionResult> {
    const budget = this.#parts.budgetOf(call.serviceId);
    budget.noteFirstAttempt(settings.retryBudgetPercent);
    const tried: Runner[] = [];
    let last = makeResult("not_run", "no runner is left to try");
    for (let attempt = 1; attempt <= settings.maxAttempts; attempt += 1) {
      if (attempt > 1) {
        if (!budget.tryTake()) break;
        this.#parts.metrics.count("retries");
        await sleep(computeBackoffMs(attempt - 2));
      }
      const runner = this.#choose(call, tried);
      if (!runner) break;
      tried.push(runner);
      const outcome = await this.#callRunner(runner, call, settings);
      const result = this.#toResult(runner, outcome);
      if (result.outcome === "completed") return result;
      // What may have run stays so, whatever later attempts say.
      if (last.outcome !== "may_have_run") last = result;
      if (result.outcome === "may_have_run" && !call.isIdempotent) break;
    }
    return last;
  }

  #choose(call: PlainCall, tried: readonly Runner[]): Runner | undefined {
    const usable = this.#parts.access.listUsable(call.serviceId);
    const candidates = listCandidates(usable, tried);
    const runner = choosePlainRunner(candidates, {
      region: this.#parts.region,
      activeCalls: (runnerId) => this.#activeCalls.get(runnerId) ?? 0,
      random: Math.random,
    });
    this.#parts.metrics.count("decisions");
    this.#parts.logger.info("decision", {
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
    const confirmed = await this.#parts.access.confirm(runner, "plain");
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
    const { access } = this.#parts;
    switch (outcome.type) {
      case "answered":
        access.health.recordSuccess(runner.runnerId);
        return {
          outcome: "completed",
          statusCode: outcome.statusCode,
          contentType: outcome.contentType,
          body: outcome.body,
          reason: "",
        };
      case "refused":
        if (outcome.isLeaving) access.noteLeaving(runner.runnerId, "runner");
        return makeResult("not_run", outcome.reason);
      case "unreachable":
        access.health.recordFailure(runner.runnerId);
        return makeResult("not_run", outcome.reason);
      case "unknown":
        access.health.recordFailure(runner.runnerId);
        return makeResult("may_have_run", outcome.reason);
    }
  }

  #countActive(runnerId: string, change: number): void {
    const calls = (this.#activeCalls.get(runnerId) ?? 0) + change;
    if (calls === 0) this.#activeCalls.delete(runnerId);
    else this.#activeCalls.set(runnerId, calls);
  }
}

// A retry prefers zones in which nothing has failed yet.
function listCandidates(
  usable: readonly Runner[],
  tried: readonly Runner[],
): readonly Runner[] {
  const triedIds = new Set(tried.map((runner) => runner.runnerId));
  const triedZones = new Set(tried.map((runner) => runner.availabilityZone));
  const untried = usable.filter((runner) => !triedIds.has(runner.runnerId));
  const elsewhere = untried.filter(
    (runner) => !triedZones.has(runner.availabilityZone),
  );
  return elsewhere.length > 0 ? elsewhere : untried;
}
