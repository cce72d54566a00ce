import TinyQueue from "tinyqueue";
import { DEFAULT_ENGINE_OPTIONS, EngineModel } from "@jujubeladder/standins";
import type { RunnerLoad } from "@jujubeladder/types";
import type { Arrival } from "./arrival.js";
import type { Deployment } from "./deployment.js";
import { MetricsCollector } from "./metrics_collector.js";
import type { Policy } from "./policy.js";
import type { PolicyMetrics } from "./policy_metrics.js";
import type { StreamRecord } from "./stream_record.js";

const REPORT_INTERVAL_MS = 250;
const REPORT_LAG_MS = 250;
const DISPATCH_INTERVAL_MS = 25;
const IDLE_STEP_MS = 5;
const CRASH_AT_MS = 47_000;
const DRAIN_AT_MS = 60_000;
const RECLAIM_AT_MS = 75_000;
const END_MS = 180_000;
const SHORT_PRIORITY_BONUS_MS = 10_000;

interface Engine {
  readonly runnerId: string;
  readonly region: string;
  readonly model: EngineModel;
  hasFailed: boolean;
  isLeaving: boolean;
}

interface Task {
  readonly atMs: number;
  readonly run: () => void;
}

/** Discrete-event simulation of real policies on modelled engines. */
export class Simulation {
  readonly #deployment: Deployment;
  readonly #tasks = new TinyQueue<Task>([], (a, b) => a.atMs - b.atMs);
  readonly #engines: readonly Engine[];
  readonly #metrics = new MetricsCollector();
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
      hasFailed: false,
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
  ): PolicyMetrics {
    this.#policies = policies;
    this.#publishUsableRunners();
    for (const engine of this.#engines) {
      this.#schedule(0, () => {
        this.#stepEngine(engine);
      });
      this.#schedule(0, () => {
        this.#reportLoad(engine);
      });
    }
    policies.forEach((policy, index) => {
      this.#schedule(index, () => {
        this.#dispatchPeriodically(policy);
      });
    });
    for (const arrival of arrivals) {
      this.#schedule(arrival.atMs, () => {
        this.#handleArrival(arrival);
      });
    }
    this.#scheduleFaults();
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
    return this.#metrics.toMetrics(preemptions);
  }

  #scheduleFaults(): void {
    const [crashed, reclaimed] = this.#engines;
    if (!crashed || !reclaimed) return;
    this.#schedule(CRASH_AT_MS, () => {
      this.#failEngine(crashed);
    });
    this.#schedule(DRAIN_AT_MS, () => {
      reclaimed.isLeaving = true;
      this.#publishUsableRunners();
    });
    this.#schedule(RECLAIM_AT_MS, () => {
      this.#failEngine(reclaimed);
    });
  }

  #handleArrival(arrival: Arrival): void {
    this.#metrics.recordArrival(arrival);
    this.#submit(arrival);
  }

  #submit(arrival: Arrival): void {
    const policy = this.#policies[arrival.instance];
    if (!policy) throw new Error("Arrival refers to an unknown instance");
    policy.submit(arrival, (decision) => {
      if (decision.type === "refused") {
        this.#metrics.recordRefusal();
        return;
      }
      const { runnerId, lease } = decision;
      const engine = this.#findEngine(runnerId);
      const instanceRegion = this.regionOfInstance(arrival.instance);
      this.#metrics.recordPlacement(engine.region === instanceRegion);
      this.#streams.set(arrival.requestId, {
        arrival,
        lease,
        runnerId,
        lastTokenAtMs: undefined,
        stallMs: 0,
        producedTokens: 0,
      });
      const priorityBonusMs = arrival.isShort ? SHORT_PRIORITY_BONUS_MS : 0;
      engine.model.add({
        streamId: arrival.requestId,
        promptTokens: arrival.promptTokens,
        outputTokens: arrival.outputTokens,
        priority: this.#nowMs - priorityBonusMs,
        prefixKey: arrival.requestId,
        producedTokens: 0,
      });
    });
  }

  #stepEngine(engine: Engine): void {
    if (engine.hasFailed) return;
    const isIdle = engine.model.runningCount + engine.model.waitingCount === 0;
    if (isIdle) {
      this.#schedule(this.#nowMs + IDLE_STEP_MS, () => {
        this.#stepEngine(engine);
      });
      return;
    }
    const step = engine.model.step();
    const doneAtMs = this.#nowMs + step.durationMs;
    this.#schedule(doneAtMs, () => {
      for (const { streamId } of step.produced) this.#recordToken(streamId);
      for (const { streamId } of step.finished) this.#finish(streamId);
      this.#stepEngine(engine);
    });
  }

  #recordToken(streamId: string): void {
    const stream = this.#streams.get(streamId);
    if (!stream) return;
    this.#metrics.recordToken(stream, this.#nowMs);
    stream.lease.progress(stream.producedTokens);
  }

  #finish(streamId: string): void {
    const stream = this.#streams.get(streamId);
    if (!stream) return;
    this.#streams.delete(streamId);
    this.#metrics.recordCompletion(stream);
    this.#policies[stream.arrival.instance]?.recordCompletion(stream.arrival);
    stream.lease.release();
  }

  #failEngine(engine: Engine): void {
    engine.hasFailed = true;
    this.#publishUsableRunners();
    for (const [streamId, stream] of this.#streams) {
      if (stream.runnerId !== engine.runnerId) continue;
      this.#streams.delete(streamId);
      stream.lease.release();
      // Short requests are taken as non-streamed. Those and streams without
      // output can be retried.
      const isRetryable = stream.arrival.isShort || stream.producedTokens === 0;
      if (isRetryable) this.#submit(stream.arrival);
      else this.#metrics.recordLoss(stream);
    }
  }

  #reportLoad(engine: Engine): void {
    if (engine.hasFailed) return;
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
    this.#schedule(this.#nowMs + REPORT_LAG_MS, () => {
      for (const policy of this.#policies) policy.updateLoad(load);
    });
    this.#schedule(this.#nowMs + REPORT_INTERVAL_MS, () => {
      this.#reportLoad(engine);
    });
  }

  #dispatchPeriodically(policy: Policy): void {
    policy.dispatchQueued();
    this.#schedule(this.#nowMs + DISPATCH_INTERVAL_MS, () => {
      this.#dispatchPeriodically(policy);
    });
  }

  #publishUsableRunners(): void {
    const usable = this.#engines
      .filter((engine) => !engine.hasFailed && !engine.isLeaving)
      .map((engine) => engine.runnerId);
    for (const policy of this.#policies) policy.setUsableRunners(usable);
  }

  #findEngine(runnerId: string): Engine {
    const engine = this.#engines.find((e) => e.runnerId === runnerId);
    if (!engine) throw new Error(`Unknown runner ${runnerId}`);
    return engine;
  }

  #schedule(atMs: number, run: () => void): void {
    this.#tasks.push({ atMs, run });
  }
}

function regionOf(index: number, deployment: Deployment): string {
  return `region-${(index % deployment.regions) + 1}`;
}
