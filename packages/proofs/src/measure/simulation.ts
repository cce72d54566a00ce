import TinyQueue from "tinyqueue";
import { DEFAULT_ENGINE_OPTIONS, EngineModel } from "@jujubeladder/standins";
import type { RunnerLoad } from "@jujubeladder/types";
import type { Arrival } from "./arrival.js";
import type { Deployment } from "./deployment.js";
import { FigureCollector } from "./figure_collector.js";
import type { Policy } from "./policy.js";
import type { PolicyFigures } from "./policy_figures.js";
import type { StreamRecord } from "./stream_record.js";

const REPORT_INTERVAL_MS = 250;
const REPORT_LAG_MS = 250;
const PUMP_INTERVAL_MS = 25;
const IDLE_STEP_MS = 5;
const LOST_AT_MS = 47_000;
const LEAVING_AT_MS = 60_000;
const RECLAIMED_AT_MS = 75_000;
const END_MS = 180_000;
const SHORT_PRIORITY_BONUS_MS = 10_000;

interface Engine {
  readonly runnerId: string;
  readonly region: string;
  readonly model: EngineModel;
  isGone: boolean;
  isLeaving: boolean;
}

interface Task {
  readonly atMs: number;
  readonly run: () => void;
}

/** Replays a trace in virtual time: real policies, modelled engines. */
export class Simulation {
  readonly #deployment: Deployment;
  readonly #tasks = new TinyQueue<Task>([], (a, b) => a.atMs - b.atMs);
  readonly #engines: readonly Engine[];
  readonly #figures = new FigureCollector();
  readonly #streams = new Map<string, StreamRecord>();
  #policies: readonly Policy[] = [];
  #nowMs = 0;

  constructor(deployment: Deployment) {
    this.#deployment = deployment;
    this.#engines = Array.from({ length: deployment.engines }, (_, index) => ({
      runnerId: `runner-${index + 1}`,
      region: regionOf(index, deployment),
      model: new EngineModel({
        ...DEFAULT_ENGINE_OPTIONS,
        capacityTokens: deployment.capacityTokens,
        maxBatch: 256,
      }),
      isGone: false,
      isLeaving: false,
    }));
  }

  get nowMs(): number {
    return this.#nowMs;
  }

  regionOfRunner(runnerId: string): string {
    return this.#findEngine(runnerId).region;
  }

  regionOfInstance(index: number): string {
    return regionOf(index, this.#deployment);
  }

  run(
    arrivals: readonly Arrival[],
    policies: readonly Policy[],
  ): PolicyFigures {
    this.#policies = policies;
    this.#tellUsable();
    for (const engine of this.#engines) {
      this.#at(0, () => {
        this.#stepEngine(engine);
      });
      this.#at(0, () => {
        this.#report(engine);
      });
    }
    policies.forEach((policy, index) => {
      this.#at(index, () => {
        this.#pump(policy);
      });
    });
    for (const arrival of arrivals) {
      this.#at(arrival.atMs, () => {
        this.#arrive(arrival);
      });
    }
    this.#planFaults();
    while (this.#tasks.length > 0) {
      const task = this.#tasks.pop();
      if (!task || task.atMs > END_MS) break;
      this.#nowMs = task.atMs;
      task.run();
    }
    const preemptions = this.#engines.reduce(
      (sum, engine) => sum + engine.model.preemptions,
      0,
    );
    return this.#figures.toFigures(preemptions);
  }

  #planFaults(): void {
    const [lost, reclaimed] = this.#engines;
    if (!lost || !reclaimed) return;
    this.#at(LOST_AT_MS, () => {
      this.#lose(lost);
    });
    this.#at(LEAVING_AT_MS, () => {
      reclaimed.isLeaving = true;
      this.#tellUsable();
    });
    this.#at(RECLAIMED_AT_MS, () => {
      this.#lose(reclaimed);
    });
  }

  #arrive(arrival: Arrival): void {
    this.#figures.noteArrival(arrival);
    this.#submit(arrival);
  }

  #submit(arrival: Arrival): void {
    const policy = this.#policies[arrival.instance];
    if (!policy) throw new Error("An arrival names no instance");
    policy.submit(arrival, (answer) => {
      if (answer.type === "refused") {
        this.#figures.noteRefusal();
        return;
      }
      const { runnerId, hold } = answer;
      const engine = this.#findEngine(runnerId);
      const here = this.regionOfInstance(arrival.instance);
      this.#figures.notePlaced(engine.region === here);
      this.#streams.set(arrival.requestId, {
        arrival,
        hold,
        runnerId,
        lastTokenAtMs: undefined,
        stallMs: 0,
        producedTokens: 0,
      });
      const bonus = arrival.isShort ? SHORT_PRIORITY_BONUS_MS : 0;
      engine.model.add({
        streamId: arrival.requestId,
        promptTokens: arrival.promptTokens,
        outputTokens: arrival.outputTokens,
        priority: this.#nowMs - bonus,
        prefixKey: arrival.requestId,
        producedTokens: 0,
      });
    });
  }

  #stepEngine(engine: Engine): void {
    if (engine.isGone) return;
    const isIdle = engine.model.runningCount + engine.model.waitingCount === 0;
    if (isIdle) {
      this.#at(this.#nowMs + IDLE_STEP_MS, () => {
        this.#stepEngine(engine);
      });
      return;
    }
    const step = engine.model.step();
    const doneAtMs = this.#nowMs + step.durationMs;
    this.#at(doneAtMs, () => {
      for (const { streamId } of step.produced) this.#noteToken(streamId);
      for (const { streamId } of step.finished) this.#finish(streamId);
      this.#stepEngine(engine);
    });
  }

  #noteToken(streamId: string): void {
    const stream = this.#streams.get(streamId);
    if (!stream) return;
    this.#figures.noteToken(stream, this.#nowMs);
    stream.hold.progress(stream.producedTokens);
  }

  #finish(streamId: string): void {
    const stream = this.#streams.get(streamId);
    if (!stream) return;
    this.#streams.delete(streamId);
    this.#figures.noteFinished(stream);
    this.#policies[stream.arrival.instance]?.noteFinished(stream.arrival);
    stream.hold.release();
  }

  #lose(engine: Engine): void {
    engine.isGone = true;
    this.#tellUsable();
    for (const [streamId, stream] of this.#streams) {
      if (stream.runnerId !== engine.runnerId) continue;
      this.#streams.delete(streamId);
      stream.hold.release();
      // Whole answers, and streams of which nothing was sent, start anew.
      const mayRerun = stream.arrival.isShort || stream.producedTokens === 0;
      if (mayRerun) this.#submit(stream.arrival);
      else this.#figures.noteLost(stream);
    }
  }

  #report(engine: Engine): void {
    if (engine.isGone) return;
    const load: RunnerLoad = {
      runnerId: engine.runnerId,
      incarnation: "1",
      isLeaving: engine.isLeaving,
      runningStreams: engine.model.runningCount,
      waitingStreams: engine.model.waitingCount,
      usedTokens: engine.model.usedTokens,
      capacityTokens: this.#deployment.capacityTokens,
      preemptions: engine.model.preemptions,
      fence: 0,
      state: { model: "", version: "", adapters: [], role: "" },
    };
    this.#at(this.#nowMs + REPORT_LAG_MS, () => {
      for (const policy of this.#policies) policy.updateLoad(load);
    });
    this.#at(this.#nowMs + REPORT_INTERVAL_MS, () => {
      this.#report(engine);
    });
  }

  #pump(policy: Policy): void {
    policy.pump();
    this.#at(this.#nowMs + PUMP_INTERVAL_MS, () => {
      this.#pump(policy);
    });
  }

  #tellUsable(): void {
    const usable = this.#engines
      .filter((engine) => !engine.isGone && !engine.isLeaving)
      .map((engine) => engine.runnerId);
    for (const policy of this.#policies) policy.setUsable(usable);
  }

  #findEngine(runnerId: string): Engine {
    const engine = this.#engines.find((e) => e.runnerId === runnerId);
    if (!engine) throw new Error(`There is no ${runnerId}`);
    return engine;
  }

  #at(atMs: number, run: () => void): void {
    this.#tasks.push({ atMs, run });
  }
}

function regionOf(index: number, deployment: Deployment): string {
  return `region-${(index % deployment.regions) + 1}`;
}
