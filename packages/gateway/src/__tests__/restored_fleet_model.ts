import { createSeededRandom } from "@jujubeladder/standins";
import { Logger } from "@jujubeladder/logger";
import type { StorePosition } from "../model/store_position.js";
import { toIncarnationId } from "../model/to_incarnation_id.js";
import { RunnerDirectory } from "../views/runner_directory.js";
import { createRunnerModel } from "./create_runner_model.js";
import type { RestoredFleetResult } from "./restored_fleet_result.js";
import type { RunnerModel } from "./runner_model.js";
import { StoreModel } from "./store_model.js";
import { StoreReaderModel } from "./store_reader_model.js";

const STEP_MS = 50;
const BEAT_MS = 1_200;
const DRAIN_MS = 2_500;
const MAX_READ_WAIT_MS = 700;
const MAX_FOLLOW_WAIT_MS = 350;
const RUNNER_COUNT = 12;
const READER_COUNT = 3;
/** Live runners are back within about two seconds of the store's return. */
const MAX_REWRITE_MS = 1_900;
/** How long a live runner may be unusable once the store lists it. */
const MAX_LOST_MS = 2_000;
/** How long a runner may be used after its entry went: a grace and two views. */
const MAX_USED_MS = 4_000;

/** A store that is restored now and then, and one directory that follows it. */
export class RestoredFleetModel {
  readonly #random: () => number;
  readonly #clock: { nowMs: number };
  readonly #store = new StoreModel();
  readonly #readers = Array.from(
    { length: READER_COUNT },
    () => new StoreReaderModel(),
  );
  readonly #directory = new RunnerDirectory(new Logger({}));
  readonly #runners = new Map<string, RunnerModel>();
  /** Where the directory has seen that incarnations are gone. */
  readonly #goneAsOf = new Map<string, StorePosition>();
  readonly #wasUsed = new Set<string>();
  readonly #violations = new Set<string>();
  readonly #goneListedAgain = new Set<string>();
  #reader = 0;
  #nextFollowMs = 0;
  #asOf: StorePosition | undefined;
  #returnsAtMs = Number.POSITIVE_INFINITY;
  #restoredAtMs = Number.NEGATIVE_INFINITY;
  #restores = 0;
  #returned = 0;

  /** The directory's monotonic clock must be `clock`. */
  constructor(seed: number, clock: { nowMs: number }) {
    this.#random = createSeededRandom(seed);
    this.#clock = clock;
    this.#directory.events.on("returned", () => {
      this.#returned += 1;
    });
  }

  async run(durationMs: number): Promise<RestoredFleetResult> {
    const clock = this.#clock;
    const endMs = clock.nowMs + durationMs;
    for (let n = 0; n < RUNNER_COUNT; n += 1) this.#start(`r${n}`);
    while (clock.nowMs < endMs) {
      clock.nowMs += STEP_MS;
      this.#stepStore();
      for (const model of [...this.#runners.values()]) this.#stepRunner(model);
      for (const reader of this.#readers) {
        const waitMs = this.#random() * MAX_READ_WAIT_MS;
        reader.read(this.#store, { nowMs: clock.nowMs, waitMs });
      }
      if (clock.nowMs >= this.#nextFollowMs) this.#follow();
      this.#check();
    }
    await new Promise(setImmediate);
    return {
      restores: this.#restores,
      returned: this.#returned,
      goneListedAgain: this.#goneListedAgain.size,
      violations: [...this.#violations],
    };
  }

  #happens(probability: number) {
    return this.#random() < probability;
  }

  #start(runnerId: string): void {
    const { nowMs } = this.#clock;
    const lifeMs = 2_000 + this.#random() * 30_000;
    this.#runners.set(runnerId, createRunnerModel(runnerId, { nowMs, lifeMs }));
  }

  #stepStore(): void {
    const { nowMs } = this.#clock;
    if (!this.#store.isAway) {
      this.#store.expire(nowMs);
      if (this.#happens(0.005)) this.#store.dropHistory();
      if (!this.#happens(0.008)) return;
      this.#store.isAway = true;
      const awayMs = this.#happens(0.5) ? 300 : 2_000;
      this.#returnsAtMs = nowMs + awayMs;
    } else if (nowMs >= this.#returnsAtMs) {
      this.#store.restore(this.#random() * 9_000, nowMs);
      this.#restores += 1;
      this.#restoredAtMs = nowMs;
      for (const model of this.#runners.values()) {
        model.mustWrite = true;
        model.nextBeatMs = nowMs + this.#random() * MAX_REWRITE_MS;
      }
    }
  }

  #stepRunner(model: RunnerModel): void {
    const { nowMs } = this.#clock;
    if (nowMs >= model.endsAtMs) this.#endPhase(model);
    if (this.#store.isAway || nowMs < model.nextBeatMs) return;
    model.nextBeatMs = nowMs + BEAT_MS;
    const { runner, mustWrite } = model;
    model.mustWrite = false;
    switch (model.phase) {
      case "live":
        this.#store.register(runner, { nowMs, isNew: mustWrite });
        return;
      case "draining":
        this.#store.register(
          { ...runner, state: "leaving" },
          { nowMs, isNew: mustWrite },
        );
        return;
      case "removed":
        this.#store.remove(runner.runnerId, nowMs);
        return;
      case "dead":
    }
  }

  #endPhase(model: RunnerModel): void {
    const { nowMs } = this.#clock;
    const { runnerId } = model.runner;
    switch (model.phase) {
      case "live": {
        const isCrash = this.#happens(0.3);
        const isDraining = this.#happens(0.5);
        model.phase = isCrash ? "dead" : isDraining ? "draining" : "removed";
        model.nextBeatMs = nowMs;
        model.endsAtMs =
          nowMs + (isCrash ? 1_000 + this.#random() * 6_000 : DRAIN_MS);
        return;
      }
      case "draining":
      case "removed":
        if (this.#store.isAway) return;
        this.#store.remove(runnerId, nowMs);
        model.phase = "dead";
        model.endsAtMs = nowMs + 2_000 + this.#random() * 10_000;
        return;
      case "dead":
        this.#start(runnerId);
    }
  }

  #follow(): void {
    const { nowMs } = this.#clock;
    this.#nextFollowMs = nowMs + this.#random() * MAX_FOLLOW_WAIT_MS;
    if (this.#happens(0.1))
      this.#reader = Math.floor(this.#random() * READER_COUNT);
    const answer = this.#readers[this.#reader]?.answer(
      this.#asOf,
      this.#clock.nowMs,
    );
    if (!answer || answer.asOf.era < (this.#asOf?.era ?? 0)) return;
    const { asOf } = answer;
    this.#asOf = asOf;
    if (answer.type === "list")
      this.#directory.replaceAll(answer.runners, asOf);
    else
      for (const change of answer.changes) {
        if (change.type === "put") this.#directory.put(change.runner, asOf);
        else this.#directory.remove(change.runnerId, asOf);
      }
    this.#directory.confirm(asOf);
  }

  #check(): void {
    const usable = new Map(
      this.#directory
        .listUsable("writer")
        .map((runner) => [runner.runnerId, toIncarnationId(runner)]),
    );
    for (const model of this.#runners.values()) {
      this.#checkLost(model, usable);
      this.#checkUsed(model, usable);
    }
    this.#checkGone(new Set(usable.values()));
  }

  /** No live registered runner is unusable for long. */
  #checkLost(model: RunnerModel, usable: ReadonlyMap<string, string>): void {
    const { nowMs } = this.#clock;
    const { runner, phase } = model;
    const listed = this.#store.find(runner.runnerId);
    // A live runner writes again after a restore, at a time of its own.
    const isLost =
      phase === "live" &&
      !model.mustWrite &&
      !this.#store.isAway &&
      listed?.startedAtMs === runner.startedAtMs &&
      usable.get(runner.runnerId) !== toIncarnationId(runner);
    model.lostSinceMs = isLost ? (model.lostSinceMs ?? nowMs) : undefined;
    if (nowMs - (model.lostSinceMs ?? nowMs) > MAX_LOST_MS)
      this.#violations.add(`${toIncarnationId(runner)} is lost`);
  }

  /** No runner is used long after its entry went. */
  #checkUsed(model: RunnerModel, usable: ReadonlyMap<string, string>): void {
    const { nowMs } = this.#clock;
    const { runner } = model;
    const isListed =
      this.#store.find(runner.runnerId)?.startedAtMs === runner.startedAtMs;
    if (isListed || this.#store.isAway) model.unlistedSinceMs = nowMs;
    const sinceMs = Math.max(model.unlistedSinceMs, this.#restoredAtMs);
    const isUsed = usable.get(runner.runnerId) === toIncarnationId(runner);
    if (isUsed && nowMs - sinceMs > MAX_USED_MS)
      this.#violations.add(`${toIncarnationId(runner)} is used for long`);
  }

  /** No runner that was seen to be gone is used again unless it wrote again. */
  #checkGone(usable: ReadonlySet<string>): void {
    const asOf = this.#asOf;
    if (!asOf) return;
    for (const [incarnationId, goneAsOf] of this.#goneAsOf) {
      if (!usable.has(incarnationId)) continue;
      if (!this.#store.hasRegisteredSince(incarnationId, goneAsOf))
        this.#violations.add(`${incarnationId} is gone and used again`);
      this.#goneAsOf.delete(incarnationId);
    }
    for (const { runner, phase } of this.#runners.values()) {
      const { runnerId, startedAtMs } = runner;
      const incarnationId = toIncarnationId(runner);
      const isListed = this.#store.find(runnerId)?.startedAtMs === startedAtMs;
      if (usable.has(incarnationId)) this.#wasUsed.add(incarnationId);
      else if (this.#goneAsOf.has(incarnationId)) {
        if (phase === "dead" && isListed)
          this.#goneListedAgain.add(incarnationId);
      } else if (this.#wasUsed.has(incarnationId))
        this.#goneAsOf.set(incarnationId, asOf);
    }
  }
}
