import { FairQueue } from "@jujubeladder/scheduling";
import { monotonicMs } from "@jujubeladder/utils";
import { chooseRunner } from "../decisions/choose_runner.js";
import type { LoadBook } from "../decisions/load_book.js";
import type { OutlierScores } from "../decisions/outlier_scores.js";
import { Placement } from "../decisions/placement.js";
import type { PlacementChoice } from "../decisions/placement_choice.js";
import { SMALL_FLEET } from "../decisions/small_fleet.js";
import type { RunnerCandidate } from "../decisions/runner_candidate.js";
import type { RoutedService } from "../model/routed_service.js";
import type { GenerationWork } from "../model/generation_work.js";
import type { RunnerLoad } from "../model/runner_load.js";
import type { RunnerDirectory } from "../views/runner_directory.js";

/** How often waiting requests are offered places without an event. */
const OFFER_INTERVAL_MS = 25;

/** What a request needs of a runner. */
interface PlacementNeed {
  readonly service: RoutedService;
  readonly teamId: string;
  readonly work?: GenerationWork | undefined;
  readonly isUrgent: boolean;
  readonly excludedRunnerIds: ReadonlySet<string>;
}

interface Waiting {
  readonly request: {
    readonly teamId: string;
    readonly teamWeight: number;
    readonly isShort: boolean;
  };
  readonly queuedAtMs: number;
  readonly costTokens: number;
  readonly need: PlacementNeed;
  readonly giveUpAtMs: number;
  readonly settle: (choice: PlacementChoice) => void;
}

/** Finds places for requests and lets them wait, fairly by team. */
export class PlacementDesk {
  readonly #directory: RunnerDirectory;
  readonly #loads: LoadBook;
  readonly #outliers: OutlierScores;
  readonly #place: {
    readonly availabilityZone: string;
    readonly region: string;
  };
  readonly #countInstances: () => number;
  readonly #queue = new FairQueue<Waiting>();
  #timer: NodeJS.Timeout | undefined;

  constructor(parts: {
    readonly directory: RunnerDirectory;
    readonly loads: LoadBook;
    readonly outliers: OutlierScores;
    readonly place: {
      readonly availabilityZone: string;
      readonly region: string;
    };
    readonly countInstances: () => number;
  }) {
    this.#countInstances = parts.countInstances;
    this.#directory = parts.directory;
    this.#loads = parts.loads;
    this.#outliers = parts.outliers;
    this.#place = parts.place;
  }

  get waitingCount(): number {
    return this.#queue.size;
  }

  /** Chooses a place now. */
  choose(need: PlacementNeed): PlacementChoice {
    const isLargeFleet = this.#countInstances() > SMALL_FLEET;
    return chooseRunner(this.listCandidates(need), {
      ...this.#place,
      random: isLargeFleet ? Math.random() : undefined,
      nowMs: monotonicMs(),
      engine: need.service.engine,
      work: need.work,
      isUrgent: need.isUrgent,
    });
  }

  /** Load of one runner, as far as it is known here. */
  findLoad(runnerId: string): RunnerLoad {
    return this.#loads.find(runnerId);
  }

  /** Runners that a request may go to, with their load. */
  listCandidates(
    need: Pick<PlacementNeed, "service" | "excludedRunnerIds">,
  ): readonly RunnerCandidate[] {
    return this.#directory
      .listUsable(need.service.serviceId)
      .filter(({ runnerId }) => !need.excludedRunnerIds.has(runnerId))
      .map((runner) => ({
        runner,
        load: this.#loads.find(runner.runnerId),
        failureShare: this.#outliers.find(runner.runnerId),
      }));
  }

  /** Chooses a place, or waits for one for a bounded time. */
  async find(
    need: PlacementNeed,
    options: { readonly maxWaitMs: number; readonly signal: AbortSignal },
  ): Promise<PlacementChoice> {
    const choice = this.choose(need);
    // Who comes later may not pass those who wait.
    const mayPass = this.#queue.size === 0 || need.isUrgent;
    if (choice.type === "placed" && mayPass) return choice;
    if (options.maxWaitMs <= 0) return choice;
    return await new Promise((resolve) => {
      const { signal } = options;
      const nowMs = monotonicMs();
      const onAbort = () => {
        this.#queue.removeWhere((item) => item === waiting);
        waiting.settle({ type: "no_runner" });
      };
      const waiting: Waiting = {
        request: {
          teamId: need.teamId,
          teamWeight: 1,
          isShort: need.isUrgent,
        },
        queuedAtMs: nowMs,
        costTokens: need.work?.promptTokens ?? 1,
        need,
        giveUpAtMs: nowMs + options.maxWaitMs,
        settle: (settled) => {
          signal.removeEventListener("abort", onAbort);
          resolve(settled);
        },
      };
      signal.addEventListener("abort", onAbort, { once: true });
      this.#queue.push(waiting);
      this.#timer ??= setInterval(() => {
        this.offer();
      }, OFFER_INTERVAL_MS);
    });
  }

  /** Takes a place; its load counts until it is released. */
  take(runnerId: string, work: GenerationWork | undefined): Placement {
    const placement = new Placement(runnerId, work);
    this.#loads.place(placement);
    return placement;
  }

  release(placement: Placement): void {
    this.#loads.release(placement);
    if (this.#queue.size > 0)
      setImmediate(() => {
        this.offer();
      });
  }

  /** Offers places to those who wait, and sends off whose time is up. */
  offer(): void {
    const nowMs = monotonicMs();
    const late = this.#queue.removeWhere((item) => item.giveUpAtMs <= nowMs);
    for (const item of late) item.settle(this.choose(item.need));
    // Each pass admits one request a runner, as its load counts only once it
    // has been taken.
    const offered = new Set<string>();
    this.#queue.drain((item) => {
      const choice = this.choose(item.need);
      if (choice.type !== "placed") return false;
      if (offered.has(choice.runner.runnerId)) return false;
      offered.add(choice.runner.runnerId);
      item.settle(choice);
      return true;
    }, nowMs);
    if (this.#queue.size === 0) {
      clearInterval(this.#timer);
      this.#timer = undefined;
    }
  }
}
