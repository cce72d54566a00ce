import { createSeededRandom } from "@jujubeladder/standins";
import { sha256Hex } from "@jujubeladder/utils";
import { EventQueue } from "./event_queue.js";
import type { RequestFleetOptions } from "./request_fleet_options.js";
import type { RequestFleetResult } from "./request_fleet_result.js";
import { RequestGossip } from "./request_gossip.js";

/** Each guilty request is sent some 40 times. */
const END_MS = 21_000;
const RESTART_MS = 3_500;
/** `stable_window_ms` of the deployments. */
const WINDOW_MS = 4_000;
/** Mean pause before a guilty request is sent again. */
const MEAN_PAUSE_MS = 500;
const TROUBLE_EVERY_MS = 1_500;
const TROUBLE_MS = 1_200;
/** Share of interrupted requests whose caller sends them again at once. */
const REPEATED_SHARE = 0.3;

interface Engine {
  readonly id: string;
  incarnation: number;
  isUp: boolean;
}

interface Interrupted {
  readonly fingerprint: string;
  readonly instance: number;
}

/** Plays a fleet that is sent requests which crash each engine that runs them. */
export class RequestFleetModel {
  readonly #options: RequestFleetOptions;
  readonly #random: () => number;
  readonly #events = new EventQueue();
  readonly #gossip: RequestGossip;
  readonly #engines: readonly Engine[];
  readonly #crashesAtMs = new Map<string, number[]>();
  readonly #lateSends = new Map<string, number>();
  readonly #troubledAtMs: number[] = [];
  readonly #interrupted = new Set<string>();
  #repeated: Interrupted[] = [];

  constructor(options: RequestFleetOptions) {
    this.#options = options;
    this.#random = createSeededRandom(options.seed);
    this.#gossip = new RequestGossip({
      count: options.instances,
      lossShare: options.lossShare ?? 0,
      events: this.#events,
      random: this.#random,
    });
    this.#engines = Array.from({ length: options.engines }, (_, index) => ({
      id: `i-9fbb857${index.toString(16).padStart(3, "0")}`,
      incarnation: 0,
      isUp: true,
    }));
  }

  run(): RequestFleetResult {
    const { guilty, noisePerSecond = 0, troubles = [] } = this.#options;
    for (let index = 0; index < guilty; index += 1) {
      const fingerprint = sha256Hex(`guilty ${index}`).slice(0, 43);
      this.#events.schedule(1_000, () => {
        this.#sendAgain(fingerprint);
      });
    }
    if (noisePerSecond > 0) this.#makeNoise(1_000 / noisePerSecond, 0);
    if (troubles.length > 0) this.#trouble(0);
    this.#events.runUntil(END_MS);
    const mostOf = (counts: Iterable<number>) => Math.max(0, ...counts);
    const quarantined = [...this.#interrupted].filter((fingerprint) =>
      this.#gossip.quarantines.some(
        (quarantine) => quarantine.status(fingerprint).type === "quarantined",
      ),
    );
    return {
      crashes: mostOf([...this.#crashesAtMs.values()].map((c) => c.length)),
      lateSends: mostOf(this.#lateSends.values()),
      interrupted: this.#interrupted.size,
      innocentsQuarantined: quarantined.length,
    };
  }

  #sendAgain(fingerprint: string): void {
    this.#events.schedule(this.#random() * 2 * MEAN_PAUSE_MS, () => {
      this.#sendAgain(fingerprint);
    });
    const instance = this.#choose(this.#options.instances);
    const status = this.#gossip.quarantines[instance]?.status(fingerprint);
    if (status?.type === "quarantined") return;
    const engine = this.#chooseEngine();
    if (!engine) return;
    if (this.#isLate(fingerprint) && this.#isInTouch(instance))
      this.#lateSends.set(
        fingerprint,
        (this.#lateSends.get(fingerprint) ?? 0) + 1,
      );
    const { incarnation } = engine;
    this.#events.schedule(50 + this.#random() * 500, () => {
      if (engine.incarnation !== incarnation) {
        this.#recordLoss({ fingerprint, instance }, toId(engine, incarnation));
        return;
      }
      const crashes = this.#crashesAtMs.get(fingerprint) ?? [];
      crashes.push(this.#events.nowMs);
      this.#crashesAtMs.set(fingerprint, crashes);
      this.#crash(engine, { fingerprint, instance });
    });
  }

  #crash(engine: Engine, guilty: Interrupted): void {
    const incarnationId = toId(engine, engine.incarnation);
    engine.incarnation += 1;
    engine.isUp = false;
    this.#events.schedule(RESTART_MS, () => {
      engine.isUp = true;
    });
    const fresh = Array.from({ length: this.#options.innocents }, () =>
      this.#createInnocent(),
    );
    const aboard = [...this.#repeated, ...fresh].slice(
      0,
      this.#options.innocents,
    );
    this.#repeated = aboard.filter(() => this.#random() < REPEATED_SHARE);
    for (const { fingerprint } of aboard) this.#interrupted.add(fingerprint);
    for (const interrupted of [guilty, ...aboard])
      this.#recordLoss(interrupted, incarnationId);
  }

  #recordLoss(interrupted: Interrupted, incarnationId: string): void {
    const { fingerprint, instance } = interrupted;
    this.#events.schedule(100 + this.#random() * 100, () => {
      if (this.#gossip.silent.has(instance)) return;
      this.#gossip.recordLoss(instance, fingerprint, incarnationId);
    });
  }

  #createInnocent(): Interrupted {
    const fingerprint = sha256Hex(`innocent ${this.#random()}`).slice(0, 43);
    return { fingerprint, instance: this.#choose(this.#options.instances) };
  }

  // Another team's requests, each lost with up to two engines.
  #makeNoise(intervalMs: number, count: number): void {
    this.#events.schedule(intervalMs, () => {
      const noise = this.#createInnocent();
      for (let loss = 0; loss < 2; loss += 1)
        this.#recordLoss(noise, `i-noise${count}-${loss}@1786937557906`);
      this.#makeNoise(intervalMs, count + 1);
    });
  }

  #trouble(count: number): void {
    const { troubles = [], instances } = this.#options;
    const kind = troubles[count % troubles.length];
    const instance = count % instances;
    this.#events.schedule(TROUBLE_EVERY_MS, () => {
      this.#troubledAtMs[instance] = this.#events.nowMs + TROUBLE_MS;
      this.#gossip.silent.add(instance);
      this.#events.schedule(TROUBLE_MS, () => {
        this.#gossip.silent.delete(instance);
        if (kind === "restart") this.#gossip.restart(instance);
      });
      this.#trouble(count + 1);
    });
  }

  #isLate(fingerprint: string): boolean {
    const thirdAtMs = this.#crashesAtMs.get(fingerprint)?.[2] ?? Infinity;
    return this.#events.nowMs > thirdAtMs + WINDOW_MS;
  }

  #isInTouch(instance: number): boolean {
    const troubledAtMs = this.#troubledAtMs[instance] ?? -Infinity;
    return this.#events.nowMs > troubledAtMs + WINDOW_MS;
  }

  #chooseEngine(): Engine | undefined {
    const up = this.#engines.filter(({ isUp }) => isUp);
    return up[this.#choose(up.length)];
  }

  #choose(count: number): number {
    return Math.floor(this.#random() * count);
  }
}

function toId({ id }: Engine, incarnation: number): string {
  return `${id}@${1_786_937_557_906 + incarnation}`;
}
