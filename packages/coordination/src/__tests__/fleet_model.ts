import { createSeededRandom } from "@jujubeladder/standins";
import { EventQueue } from "./event_queue.js";
import type { FleetOptions } from "./fleet_options.js";
import type { FleetResult } from "./fleet_result.js";
import { longestRefusalMs } from "./longest_refusal_ms.js";
import { ModelGossip } from "./model_gossip.js";

const ONSET_MS = 2_000;
const END_MS = 26_000;
const RESTART_MS = 3_000;
const MAX_ATTEMPTS = 3;
const JUST_BEGUN_MS = 300;
const DEADLY_PARTS = ["deadly", "deadly-1", "deadly-2"];
const FIRST_PARTS = ["first-0", "first-1", "first-2"];
const GROUPS = 6;
const SESSIONS = 300;

interface Request {
  readonly instance: number;
  readonly parts: readonly string[];
  readonly deadlyPart: string | undefined;
  attempts: number;
  begunAtMs: number | undefined;
}

interface PartEvent {
  readonly atMs: number;
  readonly part: string;
}

interface Engine {
  incarnation: number;
  isUp: boolean;
  readonly requests: Set<Request>;
}

/** Plays a fleet whose engines crash when a request with a deadly part begins. */
export class FleetModel {
  readonly #options: FleetOptions;
  readonly #random: () => number;
  readonly #events = new EventQueue();
  readonly #gossip: ModelGossip;
  readonly #engines: readonly Engine[];
  readonly #windowMs: number;
  readonly #crashes: PartEvent[] = [];
  readonly #soundOffers: { readonly atMs: number; readonly ok: boolean }[] = [];
  readonly #parts = new Set<string>();
  readonly #deadlyOffers: PartEvent[] = [];
  #crashesBeforeVerdict: number | undefined;
  #cut = 0;

  constructor(options: FleetOptions) {
    this.#options = options;
    this.#random = createSeededRandom(options.seed);
    this.#windowMs = options.instances > 100 ? 5_000 : 4_000;
    this.#gossip = new ModelGossip(
      options.instances,
      this.#events,
      this.#random,
    );
    this.#engines = Array.from({ length: options.engines }, () => ({
      incarnation: 0,
      isUp: true,
      requests: new Set<Request>(),
    }));
  }

  run(): FleetResult {
    this.#events.schedule(0, () => {
      this.#arrive();
    });
    this.#events.runUntil(END_MS);
    const mark = this.#crashes[4] ?? this.#crashes.at(-1);
    const markMs = mark?.atMs ?? END_MS;
    return {
      crashes: this.#crashes.length,
      crashesBeforeVerdict: this.#crashesBeforeVerdict,
      lateDeadly: Math.max(
        ...DEADLY_PARTS.map((part) => this.#countLateDeadly(part)),
      ),
      sound: this.#countSound(ONSET_MS),
      lateSound: this.#countSound(markMs + 2 * this.#windowMs),
      longestRefusalMs: longestRefusalMs(this.#soundOffers),
      innocentsAtEnd: this.#countInnocents(),
      cut: this.#cut,
      messages: this.#gossip.messageCount,
    };
  }

  #arrive(): void {
    const { requestsPerSecond, instances } = this.#options;
    const gapMs = (-Math.log(1 - this.#random()) * 1_000) / requestsPerSecond;
    this.#events.schedule(gapMs, () => {
      this.#arrive();
    });
    const { parts, deadlyPart } = this.#createParts();
    const isOffered = this.#start({
      instance: Math.floor(this.#random() * instances),
      parts,
      deadlyPart,
      attempts: 0,
      begunAtMs: undefined,
    });
    const hasSameFirst = parts[0] === FIRST_PARTS[0];
    if (!deadlyPart && (hasSameFirst || this.#options.deadly === "first"))
      this.#soundOffers.push({ atMs: this.#events.nowMs, ok: isOffered });
  }

  #createParts(): {
    readonly parts: readonly string[];
    readonly deadlyPart: string | undefined;
  } {
    const { deadly, deadlyShare } = this.#options;
    const isOn = this.#events.nowMs >= ONSET_MS;
    const isChosen = this.#random() < deadlyShare;
    const group = `group-${this.#choose(GROUPS)}`;
    const session = `session-${this.#choose(SESSIONS)}`;
    const middle = this.#random() < 0.5 ? group : session;
    const first = FIRST_PARTS[this.#choose(FIRST_PARTS.length)] ?? "";
    const same = FIRST_PARTS[0] ?? "";
    const sound = { parts: [first, middle], deadlyPart: undefined };
    for (const part of sound.parts) this.#parts.add(part);
    if (!isChosen || (!isOn && deadly !== "turned")) return sound;
    switch (deadly) {
      case "first":
        return { parts: ["deadly", middle], deadlyPart: "deadly" };
      case "middle":
        return { parts: [same, "deadly"], deadlyPart: "deadly" };
      case "two": {
        const part = this.#random() < 0.5 ? "deadly-1" : "deadly-2";
        return { parts: [same, part, middle], deadlyPart: part };
      }
      case "turned":
        return {
          parts: [first, "deadly"],
          deadlyPart: isOn ? "deadly" : undefined,
        };
    }
  }

  // Returns false if the instance refused the request by its parts.
  #start(request: Request): boolean {
    const quarantine = this.#gossip.instances[request.instance];
    if (quarantine?.status(request.parts).type === "quarantined") {
      this.#crashesBeforeVerdict ??= this.#crashes.length;
      return false;
    }
    const up = this.#engines.filter(({ isUp }) => isUp);
    const engine = up[this.#choose(up.length)];
    if (!engine) return true;
    request.attempts += 1;
    const { deadlyPart: part } = request;
    if (part) this.#deadlyOffers.push({ atMs: this.#events.nowMs, part });
    engine.requests.add(request);
    const { incarnation } = engine;
    this.#events.schedule(100 + this.#random() * 700, () => {
      if (engine.incarnation === incarnation) this.#begin(engine, request);
    });
    return true;
  }

  #begin(engine: Engine, request: Request): void {
    request.begunAtMs = this.#events.nowMs;
    if (request.deadlyPart) {
      this.#crash(engine, request.deadlyPart);
      return;
    }
    const { incarnation } = engine;
    this.#events.schedule(JUST_BEGUN_MS, () => {
      if (engine.incarnation !== incarnation) return;
      const quarantine = this.#gossip.instances[request.instance];
      if (quarantine?.recordLived(request.parts, JUST_BEGUN_MS))
        this.#gossip.push(request.instance);
    });
    this.#events.schedule(1_000 + this.#random() * 4_000, () => {
      engine.requests.delete(request);
    });
  }

  #crash(engine: Engine, part: string): void {
    const { nowMs } = this.#events;
    this.#crashes.push({ atMs: nowMs, part });
    const incarnationId = `e${this.#engines.indexOf(engine)}@${engine.incarnation}`;
    const lost = [...engine.requests];
    engine.requests.clear();
    engine.incarnation += 1;
    engine.isUp = false;
    this.#events.schedule(RESTART_MS, () => {
      engine.isUp = true;
    });
    for (const request of lost) {
      const isWriting =
        request.begunAtMs !== undefined &&
        nowMs - request.begunAtMs > JUST_BEGUN_MS;
      if (isWriting) {
        this.#cut += 1;
        continue;
      }
      this.#events.schedule(100 + this.#random() * 200, () => {
        const quarantine = this.#gossip.instances[request.instance];
        if (quarantine?.recordLoss(request.parts, incarnationId))
          this.#gossip.push(request.instance);
      });
      if (request.attempts >= MAX_ATTEMPTS) continue;
      request.begunAtMs = undefined;
      this.#events.schedule(20, () => {
        this.#start(request);
      });
    }
  }

  #choose(count: number): number {
    return Math.floor(this.#random() * count);
  }

  #countLateDeadly(part: string): number {
    const fifth = this.#crashes.filter((crash) => crash.part === part)[4];
    if (!fifth) return 0;
    const fromMs = fifth.atMs + this.#windowMs;
    return this.#deadlyOffers.filter(
      (offer) => offer.part === part && offer.atMs > fromMs,
    ).length;
  }

  #countSound(fromMs: number): {
    readonly offered: number;
    readonly refused: number;
  } {
    const late = this.#soundOffers.filter(({ atMs }) => atMs >= fromMs);
    return {
      offered: late.length,
      refused: late.filter(({ ok }) => !ok).length,
    };
  }

  #countInnocents(): number {
    return [...this.#parts].filter((part) =>
      this.#gossip.instances.some(
        (instance) => instance.status([part]).type === "quarantined",
      ),
    ).length;
  }
}
