import { Logger } from "@jujubeladder/logger";
import { Metrics } from "@jujubeladder/metrics";
import { fromBinary, toBinary, create } from "@bufbuild/protobuf";
import { PermitAnswerSchema, PermitQuerySchema } from "@jujubeladder/protocol";
import { monotonicMs, sleep } from "@jujubeladder/utils";
import { rankPermitIssuers } from "../mesh/rank_permit_issuers.js";
import { RatePermits } from "../mesh/rate_permits.js";
import { toIncarnationId } from "../model/to_incarnation_id.js";
import { RunnerRateLimits } from "../views/runner_rate_limits.js";
import { createRunner } from "./create_runner.js";

const REGIONS = ["r1", "r2", "r3"];
const RUN_MS = 20;
/** Peers list an instance that is gone for this long. */
const ROSTER_TTL_MS = 10_000;
/** An instance hears of its peers this long after its start. */
const JOIN_MS = 500;

interface Instance {
  readonly instanceId: string;
  readonly region: string;
  permits: RatePermits;
  limits: RunnerRateLimits;
  startedAtMs: number;
  stoppedAtMs: number | undefined;
  /** When it had passed on the first answer that states a limit. */
  toldAtMs: number | undefined;
}

/** Conditions of a play. */
interface FleetOptions {
  readonly instances: number;
  readonly random: () => number;
  /** Share of datagrams that are lost. */
  readonly loss: number;
  /** The rate that the runner states at a time; undefined if none. */
  readonly limitAt: (nowMs: number) => number | undefined;
}

/** Instances that send to one runner with a rate limit, in virtual time. */
export class ModelRateFleet {
  readonly runner = createRunner("runner-1", { region: "r1" });
  readonly arrivals: { readonly atMs: number; readonly wasTold: boolean }[] =
    [];
  readonly instances: readonly Instance[];
  readonly askedAtMs: number[] = [];
  refusedCount = 0;
  isPartitioned = false;
  readonly #options: FleetOptions;

  constructor(options: FleetOptions) {
    this.#options = options;
    this.instances = Array.from({ length: options.instances }, (_, index) =>
      this.#createInstance(
        `10.0.${Math.floor(index / 250)}.${index % 250}:1`,
        REGIONS[index % REGIONS.length] ?? "r1",
      ),
    );
  }

  /** The instance that issues the permits of the runner. */
  get issuer(): Instance | undefined {
    const incarnationId = toIncarnationId(this.runner);
    const { region } = this.runner;
    const [first] = rankPermitIssuers(
      { incarnationId, region },
      this.instances,
    );
    return this.instances.find(({ instanceId }) => instanceId === first);
  }

  stop(instance: Instance): void {
    instance.stoppedAtMs = monotonicMs();
  }

  restart(instance: Instance): void {
    const { permits, limits } = this.#createParts(instance);
    Object.assign(instance, { permits, limits });
    instance.startedAtMs = monotonicMs();
    instance.stoppedAtMs = undefined;
    instance.toldAtMs = undefined;
  }

  /** A caller's request at an instance, which can wait for a permit. */
  async request(instance: Instance, maxWaitMs: number): Promise<void> {
    const { permits, limits, startedAtMs } = instance;
    const isSame = () =>
      instance.startedAtMs === startedAtMs && !instance.stoppedAtMs;
    if (!isSame()) return;
    this.askedAtMs.push(monotonicMs());
    if (permits.findOpenMs(this.runner) > maxWaitMs) {
      this.refusedCount += 1;
      return;
    }
    const permit = await permits.acquire(this.runner, { maxWaitMs });
    if (permit.type === "granted") await sleep(permit.waitMs + 1);
    const isSent =
      isSame() &&
      permits.claim(this.runner) &&
      (await permits.spend(this.runner, { isResumption: false }));
    if (!isSent) {
      this.refusedCount += 1;
      return;
    }
    const sentAtMs = monotonicMs();
    await sleep(this.#delayMs(instance.region, this.runner.region));
    const { toldAtMs } = instance;
    const wasTold = toldAtMs !== undefined && sentAtMs - toldAtMs >= 500;
    this.arrivals.push({ atMs: monotonicMs(), wasTold });
    await sleep(RUN_MS);
    const limit = this.#options.limitAt(monotonicMs());
    await sleep(this.#delayMs(instance.region, this.runner.region));
    if (!isSame()) return;
    if (limit !== undefined) instance.toldAtMs ??= monotonicMs();
    limits.record(
      this.runner,
      limit === undefined
        ? { type: "unlimited" }
        : { type: "limited", requestsPerSecond: limit },
      { source: "answer", sentAtMs },
    );
  }

  #createInstance(instanceId: string, region: string): Instance {
    const place = { instanceId, region };
    return {
      ...place,
      ...this.#createParts(place),
      startedAtMs: -JOIN_MS,
      stoppedAtMs: undefined,
      toldAtMs: undefined,
    };
  }

  #createParts(own: { readonly instanceId: string; readonly region: string }) {
    const limits = new RunnerRateLimits(new Logger({}));
    const permits = new RatePermits({
      own,
      limits,
      listPeers: () => this.#listPeers(own.instanceId),
      isFleetKnown: () => this.#listPeers(own.instanceId).length > 0,
      datagrams: {
        askPermit: async ({ host, port }, query) => {
          const peer = this.#find(`${host}:${port}`);
          const delayMs = peer ? this.#delayMs(own.region, peer.region) : 0;
          await sleep(delayMs);
          if (!peer || !this.#reaches(own.instanceId, peer)) return undefined;
          const bytes = toBinary(
            PermitQuerySchema,
            create(PermitQuerySchema, query),
          );
          const answer = peer.permits.answer(
            fromBinary(PermitQuerySchema, bytes),
          );
          await sleep(delayMs);
          if (this.#isLost()) return undefined;
          return fromBinary(
            PermitAnswerSchema,
            toBinary(PermitAnswerSchema, answer),
          );
        },
      },
      metrics: new Metrics(),
    });
    return { limits, permits };
  }

  #find(instanceId: string): Instance | undefined {
    return this.instances.find((other) => other.instanceId === instanceId);
  }

  #listPeers(ownId: string): readonly Instance[] {
    const nowMs = monotonicMs();
    const own = this.#find(ownId);
    if (!own || nowMs - own.startedAtMs < JOIN_MS) return [];
    return this.instances.filter(
      ({ instanceId, startedAtMs, stoppedAtMs }) =>
        instanceId !== ownId &&
        nowMs - startedAtMs >= JOIN_MS * this.#options.random() &&
        nowMs - (stoppedAtMs ?? nowMs) < ROSTER_TTL_MS,
    );
  }

  #reaches(ownId: string, peer: Instance): boolean {
    const side = (id: string) =>
      this.instances.findIndex(({ instanceId }) => instanceId === id) % 2;
    const isCut = this.isPartitioned && side(ownId) !== side(peer.instanceId);
    return !isCut && peer.stoppedAtMs === undefined && !this.#isLost();
  }

  #isLost(): boolean {
    return this.#options.random() < this.#options.loss;
  }

  #delayMs(from: string, to: string): number {
    return from === to ? 1 : 12;
  }
}
