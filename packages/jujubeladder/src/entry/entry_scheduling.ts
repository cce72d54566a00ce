import { RetryBudget, Scheduler } from "@jujubeladder/scheduling";
import type { ObjectiveWeights, Runner } from "@jujubeladder/types";
import { monotonicMs, sleep } from "@jujubeladder/utils";

const DISPATCH_INTERVAL_MS = 25;
const IDLE_INTERVAL_MS = 100;

/** Sources from which the schedulers are refreshed. */
interface SchedulingDependencies {
  readonly region: string;
  readonly objective: () => ObjectiveWeights | undefined;
  readonly listUsable: (serviceId: string) => readonly Runner[];
  readonly instanceId: string;
  /** Live instances, including this one. */
  readonly listInstanceIds: () => readonly string[];
}

const DEFAULT_OBJECTIVE: ObjectiveWeights = {
  stallTime: 1,
  tailLatency: 1,
  preemptions: 1,
  crossRegionTraffic: 1,
};

/** Holds the scheduler and the retry budget of each service. */
export class EntryScheduling {
  readonly #dependencies: SchedulingDependencies;
  readonly #schedulers = new Map<string, Scheduler>();
  readonly #budgets = new Map<string, RetryBudget>();

  constructor(dependencies: SchedulingDependencies) {
    this.#dependencies = dependencies;
  }

  getScheduler(serviceId: string): Scheduler {
    const existing = this.#schedulers.get(serviceId);
    if (existing) return existing;
    const scheduler = new Scheduler({
      region: this.#dependencies.region,
      objective: this.#dependencies.objective() ?? DEFAULT_OBJECTIVE,
      nowMs: monotonicMs,
      wallClockMs: Date.now,
      random: Math.random,
    });
    this.#schedulers.set(serviceId, scheduler);
    this.#refresh(serviceId, scheduler);
    return scheduler;
  }

  getRetryBudget(serviceId: string): RetryBudget {
    const budget = this.#budgets.get(serviceId) ?? new RetryBudget();
    this.#budgets.set(serviceId, budget);
    return budget;
  }

  /** Refreshes runners and dispatches queues until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      for (const [serviceId, scheduler] of this.#schedulers) {
        this.#refresh(serviceId, scheduler);
        scheduler.dispatchQueued();
      }
      await sleep(
        this.#hasQueue() ? DISPATCH_INTERVAL_MS : IDLE_INTERVAL_MS,
        signal,
      );
    }
  }

  #hasQueue(): boolean {
    return [...this.#schedulers.values()].some((s) => s.queueSize > 0);
  }

  #refresh(serviceId: string, scheduler: Scheduler): void {
    const objective = this.#dependencies.objective();
    if (objective) scheduler.setObjective(objective);
    const { instanceId, listInstanceIds } = this.#dependencies;
    scheduler.setInstances(instanceId, listInstanceIds());
    scheduler.setUsableRunners(this.#dependencies.listUsable(serviceId));
  }
}
