import { create } from "@bufbuild/protobuf";
import { Logger } from "@jujubeladder/logger";
import { Metrics } from "@jujubeladder/metrics";
import { StreamOriginSchema } from "@jujubeladder/protocol";
import { readClocks, sleep } from "@jujubeladder/utils";
import { StreamOriginExchange } from "../mesh/stream_origin_exchange.js";
import type { GatewayRunner } from "../model/gateway_runner.js";
import type { MetadataStore } from "../model/metadata_store.js";
import type { RunnerChange } from "../model/runner_change.js";
import type { StorePosition } from "../model/store_position.js";
import type { RequestContext } from "../relay/request_context.js";
import { StreamTakeUps } from "../relay/stream_take_ups.js";
import { OnlyVersions } from "../views/only_versions.js";
import { SoftwareSightings } from "../views/software_sightings.js";
import { StreamOrigins } from "../views/stream_origins.js";
import { UnseenRunnerChanges } from "../views/unseen_runner_changes.js";

const SERVICE_ID = "writer";
const ENTRY_LIFETIME_MS = 3_600;
const CALL_TIMEOUT_MS = 400;
const CHECK_INTERVAL_MS = 50;
const MAX_LATENESS_MS = 60;
const LOGGER = new Logger({});

/** An instance of the model; while it is cut off nothing reaches or leaves it. */
class VersionInstance {
  readonly id: string;
  readonly takeUps: StreamTakeUps;
  readonly origins = new StreamOrigins();
  readonly exchange: StreamOriginExchange;
  readonly #fleet: VersionFleet;
  readonly #listed = new Map<string, GatewayRunner>();
  readonly #sightings: SoftwareSightings;
  asOf: StorePosition = { era: 1, revision: 1 };
  isCut = false;

  constructor(id: string, fleet: VersionFleet) {
    this.id = id;
    this.#fleet = fleet;
    this.#sightings = new SoftwareSightings(() => this.#listed.values(), {
      entryLifetimeMs: ENTRY_LIFETIME_MS,
    });
    this.exchange = new StreamOriginExchange({
      ownId: id,
      origins: this.origins,
      listPeerIds: () => fleet.ids.filter((other) => other !== id),
      datagrams: {
        sendStreamOrigins: ({ host, port }, { origins = [] }) => {
          const told = origins.map((init) => create(StreamOriginSchema, init));
          fleet.findReachable(this, `${host}:${port}`)?.exchange.record(told);
        },
        askStreamOrigin: async ({ host, port }, { requestId = "" }) => {
          await sleep(12);
          const peer = fleet.findReachable(this, `${host}:${port}`);
          const answer = peer?.exchange.answer(requestId);
          return answer && create(StreamOriginSchema, answer);
        },
      },
    });
    const store: Pick<MetadataStore, "readRunnerChanges"> = {
      readRunnerChanges: async ({ asOf }) => {
        if (!this.isCut) await sleep(2);
        if (this.isCut) {
          await sleep(CALL_TIMEOUT_MS);
          return { ok: false, error: "the call timed out" };
        }
        const value = fleet.listChanges(asOf);
        return { ok: true, value: { type: "changed", value, asOf } };
      },
    };
    this.takeUps = new StreamTakeUps({
      origins: this.origins,
      exchange: this.exchange,
      sightings: this.#sightings,
      onlyVersions: new OnlyVersions(
        this.#sightings,
        new UnseenRunnerChanges(
          store as MetadataStore,
          this,
          () => CHECK_INTERVAL_MS,
        ),
      ),
      metrics: new Metrics(),
      logger: LOGGER,
    });
  }

  /** The runners that this instance places requests on. */
  get runners(): readonly GatewayRunner[] {
    return [...this.#listed.values()];
  }

  /** Reads all that it has not read, as a whole list or as changes. */
  read({ isWholeList }: { readonly isWholeList: boolean }): void {
    if (this.isCut) return;
    if (isWholeList) {
      const current = this.#fleet.runners;
      for (const [id, runner] of this.#listed) {
        if (!current.has(id)) this.#drop(runner);
      }
      for (const runner of current.values())
        this.#listed.set(runner.runnerId, runner);
    } else {
      for (const change of this.#fleet.listChanges(this.asOf))
        this.#apply(change);
    }
    this.asOf = this.#fleet.asOf;
    const read = { asOf: this.asOf, readAt: readClocks(), isWholeList };
    this.#sightings.recordRead(read);
    this.takeUps.tellActive();
  }

  /** Hears that nothing has come and gone before the first list. */
  recordStart(): void {
    const knownUpTo = this.asOf;
    const knownForMs = Number.POSITIVE_INFINITY;
    this.#sightings.recordHistory({ knownForMs, knownUpTo, departed: [] });
  }

  #apply(change: RunnerChange): void {
    if (change.type === "put") {
      this.#listed.set(change.runner.runnerId, change.runner);
      return;
    }
    const known = this.#listed.get(change.runnerId);
    if (known) this.#drop(known);
  }

  #drop(runner: GatewayRunner): void {
    this.#listed.delete(runner.runnerId);
    this.#sightings.recordSighting(runner);
  }
}

/** A fleet that follows a store's list of runners, each instance a bit late. */
export class VersionFleet {
  readonly instances: readonly VersionInstance[];
  readonly ids: readonly string[];
  readonly runners = new Map<string, GatewayRunner>();
  readonly #changes: RunnerChange[] = [];
  readonly #random: () => number;

  constructor(count: number, random: () => number) {
    this.#random = random;
    this.ids = Array.from(
      { length: count },
      (_, n) => `10.0.${n >> 8}.${n & 255}:1`,
    );
    this.instances = this.ids.map((id) => new VersionInstance(id, this));
  }

  get asOf(): StorePosition {
    return { era: 1, revision: this.#changes.length + 1 };
  }

  listChanges(asOf: StorePosition): readonly RunnerChange[] {
    return this.#changes.slice(asOf.revision - 1);
  }

  findReachable(
    from: VersionInstance,
    id: string,
  ): VersionInstance | undefined {
    const peer = this.instances.find((instance) => instance.id === id);
    return from.isCut || peer?.isCut ? undefined : peer;
  }

  put(runner: GatewayRunner): void {
    this.runners.set(runner.runnerId, runner);
    this.#change({ type: "put", runner });
  }

  remove(runnerId: string): void {
    this.runners.delete(runnerId);
    this.#change({ type: "removed", runnerId });
  }

  /** Cuts an instance off for some time, after which it catches up. */
  async cut(instance: VersionInstance, durationMs: number): Promise<void> {
    instance.isCut = true;
    await sleep(durationMs);
    instance.isCut = false;
    instance.read({ isWholeList: this.#random() < 0.5 });
  }

  /** The part of a request's context that take-ups look at. */
  static createContext(
    requestId: string,
    resumes?: { readonly requestId: string; readonly lastEventId: number },
  ): RequestContext {
    return {
      request: {
        requestId,
        resumedRequestId: resumes?.requestId,
        lastEventId: resumes?.lastEventId,
      },
      route: { retryPolicy: { type: "stream" } },
      service: { serviceId: SERVICE_ID },
    } as unknown as RequestContext;
  }

  #change(change: RunnerChange): void {
    this.#changes.push(change);
    for (const instance of this.instances) {
      setTimeout(() => {
        instance.read({ isWholeList: false });
      }, this.#random() * MAX_LATENESS_MS);
    }
  }
}
