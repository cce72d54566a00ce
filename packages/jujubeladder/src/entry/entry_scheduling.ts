import { RetryBudget, Scheduler } from "@jujubeladder/scheduling";
import type { ObjectiveWeights, Runner } from "@jujubeladder/types";
import { monotonicMs, sleep } from "@jujubeladder/utils";

const PUMP_INTERVAL_MS = 25;
const IDLE_MS = 100;

/** What the schedulers are kept up to date from. */
interface SchedulingSources {
  readonly region: string;
  readonly objective: () => ObjectiveWeights | undefined;
  readonly listUsable: (serviceId: string) => readonly Runner[];
  readonly instanceId: string;
  /** Live instances, this one among them. */
  readonly listInstanceIds: () => readonly string[];
}

const NEUTRAL_OBJECTIVE: ObjectiveWeights = {
  stallTime: 1,
  tailLatency: 1,
  preemptions: 1,
  crossRegionTraffic: 1,
};

/** The scheduler and the retry budget of each service. */
export class EntryScheduling {
  readonly #sources: SchedulingSources;
  readonly #schedulers = new Map<string, Scheduler>();
  readonly #budgets = new Map<string, RetryBudget>();

  constructor(sources: SchedulingSources) {
    this.#sources = sources;
  }

  schedulerOf(serviceId: string): Scheduler {
    const known = this.#schedulers.get(serviceId);
    if (known) return known;
    const scheduler = new Scheduler({
      region: this.#sources.region,
      objective: this.#sources.objective() ?? NEUTRAL_OBJECTIVE,
      nowMs: monotonicMs,
      wallClockMs: Date.now,
      random: Math.random,
    });
    this.#schedulers.set(serviceId, scheduler);
    this.#refresh(serviceId, scheduler);
    return scheduler;
  }

  budgetOf(serviceId: string): RetryBudget {
    const budget = this.#budgets.get(serviceId) ?? new RetryBudget();
    this.#budgets.set(serviceId, budget);
    return budget;
  }

  /** Keeps runners and queues moving until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      for (const [serviceId, scheduler] of this.#schedulers) {
        this.#refresh(serviceId, scheduler);
        scheduler.dispatchQueued();
      }
      await sleep(this.#hasQueue() ? PUMP_INTERVAL_MS : IDLE_MS, signal);
    }
  }

  #hasQueue(): boolean {
    return [...this.#schedulers.values()].some((s) => s.queueSize > 0);
  }

  #refresh(serviceId: string, scheduler: Scheduler): void {
    const objective = this.#sources.objective();
    if (objective) scheduler.setObjective(objective);
    const { instanceId, listInstanceIds } = this.#sources;
    scheduler.setInstances(instanceId, listInstanceIds());
    scheduler.setUsableRunners(this.#sources.listUsable(serviceId));
  }
}
