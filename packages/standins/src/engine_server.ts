import type { Server } from "node:http";
import express, { type Request, type Response } from "express";
import type { RunnerLoad } from "@jujubeladder/types";
import { createId, hash32, sleep } from "@jujubeladder/utils";
import { chooseOutputTokens } from "./choose_output_tokens.js";
import { EngineModel } from "./engine_model.js";
import type { EngineOptions } from "./engine_options.js";
import { EngineOrders } from "./engine_orders.js";
import { Generation } from "./generation.js";
import { listen } from "./listen.js";

const IDLE_STEP_MS = 5;
const HEARTBEAT_MS = 250;
const LOST_EVENT_INTERVAL = 17;
const CHARACTERS_PER_TOKEN = 4;
const DETACHED_TIMEOUT_MS = 20_000;
const MAX_RETAINED_GENERATIONS = 10_000;
const CRASH_CONTENT = "crash-the-runner";

/** Serves the engine protocol over HTTP, on top of an `EngineModel`. */
export class EngineServer {
  readonly #options: EngineOptions;
  readonly #model: EngineModel;
  readonly #orders: EngineOrders;
  readonly #generations = new Map<string, Generation>();
  readonly #incarnation = createId();
  readonly #stopping = new AbortController();
  readonly #loadHistory: {
    readonly atMs: number;
    readonly load: RunnerLoad;
  }[] = [];
  #server: Server | undefined;
  #isLeaving = false;
  #leavingSinceMs: number | undefined;

  constructor(options: EngineOptions) {
    this.#options = options;
    this.#model = new EngineModel(options);
    this.#orders = new EngineOrders(options.isFenced, options.weightStoreUrl);
  }

  /** Starts listening on loopback; 0 picks a free port. Returns the port. */
  async start(port: number): Promise<number> {
    const app = express();
    app.use(express.json({ limit: "1mb" }));
    app.post("/v1/chat/completions", (req, res) => {
      this.#handleStart(req, res);
    });
    app.get("/v1/generations/:id/stream", (req, res) => {
      const generation = this.#generations.get(req.params.id);
      if (!generation || generation.truth().isCancelled) {
        res.status(404).json({ error: { type: "unknown_generation" } });
        return;
      }
      generation.attach(res, Number(req.query["offset"] ?? 0));
    });
    app.delete("/v1/generations/:id", (req, res) => {
      this.#generations.get(req.params.id)?.cancel();
      this.#model.cancel(req.params.id);
      res.status(204).end();
    });
    app.get("/v1/load", (_req, res) => {
      res.json(this.#reportedLoad());
    });
    app.get("/v1/cache_events", (req, res) => {
      const after = Number(req.query["after"] ?? 0);
      const retained = this.#model.cacheEvents;
      // Omits events at a fixed interval: real engines lose some, too.
      const events = retained.filter(
        ({ sequence }) =>
          sequence > after && sequence % LOST_EVENT_INTERVAL !== 0,
      );
      res.json({ lastSequence: retained.at(-1)?.sequence ?? 0, events });
    });
    app.put("/v1/orders", async (req, res) => {
      const status = await this.#orders.apply(req.body, {
        isBusy: this.#model.runningCount + this.#model.waitingCount > 0,
        cancelAll: () => {
          this.#cancelAll();
        },
      });
      res.status(status).end();
    });
    app.post("/admin/leave", (_req, res) => {
      this.#isLeaving = true;
      this.#leavingSinceMs = Date.now();
      res.status(204).end();
    });
    app.get("/truth", (_req, res) => {
      res.json({
        runnerId: this.#options.runnerId,
        leavingSinceMs: this.#leavingSinceMs,
        state: this.#orders.state,
        orders: this.#orders.log,
        preemptions: this.#model.preemptions,
        generations: [...this.#generations.values()].map((g) => g.truth()),
      });
    });
    const listening = await listen(app, port);
    this.#server = listening.server;
    void this.#run();
    return listening.port;
  }

  stop(): void {
    this.#stopping.abort();
    this.#server?.closeAllConnections();
    this.#server?.close();
  }

  #handleStart(req: Request, res: Response): void {
    const reason = this.#findRefusalReason();
    if (reason !== undefined) {
      res.status(503).setHeader("x-not-run", reason);
      res.json({ error: { type: "refused", reason } });
      return;
    }
    const messages = req.body.messages as readonly { content: string }[];
    const content = messages.map((message) => message.content).join("\n");
    const generationId = req.get("x-generation-id") ?? createId();
    if (this.#generations.has(generationId)) {
      res.status(409).json({ error: { type: "repeated_generation" } });
      return;
    }
    const prefix = messages[0]?.content ?? "";
    const generation = new Generation(generationId, content, {
      streamId: generationId,
      promptTokens: Math.ceil(content.length / CHARACTERS_PER_TOKEN),
      outputTokens: chooseOutputTokens(content, req.body.max_tokens ?? 1_000),
      priority: Number(req.get("x-priority") ?? 0),
      prefixKey: req.get("x-prefix-key") ?? String(hash32(prefix)),
      producedTokens: 0,
    });
    this.#generations.set(generationId, generation);
    this.#model.add(generation.stream);
    generation.attach(res, 0);
  }

  #findRefusalReason(): string | undefined {
    if (this.#isLeaving && this.#options.refusesWhenLeaving) return "leaving";
    if (this.#orders.isLoading) return "loading";
    return undefined;
  }

  async #run(): Promise<void> {
    let heartbeatAtMs = 0;
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      const isIdle = this.#model.runningCount + this.#model.waitingCount === 0;
      this.#recordLoad();
      if (Date.now() - heartbeatAtMs > HEARTBEAT_MS) {
        heartbeatAtMs = Date.now();
        this.#sendHeartbeats();
      }
      await sleep(isIdle ? IDLE_STEP_MS : this.#step(), signal);
    }
  }

  #step(): number {
    const step = this.#model.step();
    for (const stream of step.produced) {
      const generation = this.#generations.get(stream.streamId);
      if (generation?.content.includes(CRASH_CONTENT)) process.exit(70);
      generation?.flush();
    }
    for (const stream of step.preempted) {
      this.#generations.get(stream.streamId)?.sendPreempted();
    }
    for (const stream of step.finished) {
      this.#generations.get(stream.streamId)?.finish();
    }
    return step.durationMs;
  }

  #sendHeartbeats(): void {
    for (const generation of this.#generations.values()) {
      if (generation.isOver) continue;
      generation.heartbeat();
      if (generation.detachedMs > DETACHED_TIMEOUT_MS) {
        generation.cancel();
        this.#model.cancel(generation.generationId);
      }
    }
    const [oldest] = this.#generations.keys();
    if (this.#generations.size > MAX_RETAINED_GENERATIONS && oldest) {
      this.#generations.delete(oldest);
    }
  }

  #cancelAll(): void {
    for (const generation of this.#generations.values()) {
      if (generation.isOver) continue;
      generation.cancelByOrder();
      this.#model.cancel(generation.generationId);
    }
  }

  #recordLoad(): void {
    const atMs = Date.now();
    this.#loadHistory.push({ atMs, load: this.#currentLoad() });
    const { reportLagMs } = this.#options;
    while ((this.#loadHistory[1]?.atMs ?? atMs) <= atMs - reportLagMs) {
      this.#loadHistory.shift();
    }
  }

  // The load is `reportLagMs` old; leaving flag, state and fence are current.
  #reportedLoad(): RunnerLoad {
    const delayed = this.#loadHistory[0]?.load ?? this.#currentLoad();
    const { isLeaving, state, fence } = this.#currentLoad();
    return { ...delayed, isLeaving, state, fence };
  }

  #currentLoad(): RunnerLoad {
    return {
      runnerId: this.#options.runnerId,
      incarnation: this.#incarnation,
      isLeaving: this.#isLeaving,
      runningStreams: this.#model.runningCount,
      waitingStreams: this.#model.waitingCount,
      usedTokens: this.#model.usedTokens,
      capacityTokens: this.#options.capacityTokens,
      preemptions: this.#model.preemptions,
      fence: this.#orders.fence,
      state: this.#orders.state,
    };
  }
}
