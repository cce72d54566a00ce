import type { Server } from "node:http";
import express, { type Request, type Response } from "express";
import type { RunnerLoad } from "@jujubeladder/types";
import { createId, hashText, sleep } from "@jujubeladder/utils";
import { chooseOutputTokens } from "./choose_output_tokens.js";
import { EngineModel } from "./engine_model.js";
import type { EngineOptions } from "./engine_options.js";
import { EngineOrders } from "./engine_orders.js";
import { Generation } from "./generation.js";
import { listen } from "./listen.js";

const IDLE_STEP_MS = 5;
const HEARTBEAT_MS = 250;
const LOST_EVENT = 17;
const CHARACTERS_PER_TOKEN = 4;
const DETACHED_MS = 20_000;
const RETAINED_GENERATIONS = 10_000;
const CRASH_CONTENT = "crash-the-runner";

/** A small model engine: the published protocol over an engine model. */
export class EngineServer {
  readonly #options: EngineOptions;
  readonly #model: EngineModel;
  readonly #orders: EngineOrders;
  readonly #generations = new Map<string, Generation>();
  readonly #incarnation = createId();
  readonly #stopping = new AbortController();
  readonly #reports: { readonly atMs: number; readonly load: RunnerLoad }[] =
    [];
  #server: Server | undefined;
  #isLeaving = false;
  #leavingSinceMs: number | undefined;

  constructor(options: EngineOptions) {
    this.#options = options;
    this.#model = new EngineModel(options);
    this.#orders = new EngineOrders(options.isFenced, options.weightStoreUrl);
  }

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
      res.json(this.#laggingLoad());
    });
    app.get("/v1/cache_events", (req, res) => {
      const after = Number(req.query["after"] ?? 0);
      const all = this.#model.cacheEvents;
      // Every so many events one is left out, as real engines do.
      const events = all.filter(
        ({ sequence }) => sequence > after && sequence % LOST_EVENT !== 0,
      );
      res.json({ lastSequence: all.at(-1)?.sequence ?? 0, events });
    });
    app.put("/v1/orders", async (req, res) => {
      const status = await this.#orders.take(req.body, {
        isBusy: this.#model.runningCount + this.#model.waitingCount > 0,
        cutAll: () => {
          this.#cutAll();
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
    const refusal = this.#findRefusal();
    if (refusal !== undefined) {
      res.status(503).setHeader("x-not-run", refusal);
      res.json({ error: { type: "refused", reason: refusal } });
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
      prefixKey: req.get("x-prefix-key") ?? String(hashText(prefix)),
      producedTokens: 0,
    });
    this.#generations.set(generationId, generation);
    this.#model.add(generation.stream);
    generation.attach(res, 0);
  }

  #findRefusal(): string | undefined {
    if (this.#isLeaving && this.#options.refusesWhenLeaving) return "leaving";
    if (this.#orders.isLoading) return "loading";
    return undefined;
  }

  async #run(): Promise<void> {
    let beatAtMs = 0;
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      const isIdle = this.#model.runningCount + this.#model.waitingCount === 0;
      this.#noteReport();
      if (Date.now() - beatAtMs > HEARTBEAT_MS) {
        beatAtMs = Date.now();
        this.#beat();
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
      this.#generations.get(stream.streamId)?.notePreempted();
    }
    for (const stream of step.finished) {
      this.#generations.get(stream.streamId)?.finish();
    }
    return step.durationMs;
  }

  #beat(): void {
    for (const generation of this.#generations.values()) {
      if (generation.isOver) continue;
      generation.heartbeat();
      if (generation.unreadMs > DETACHED_MS) {
        generation.cancel();
        this.#model.cancel(generation.generationId);
      }
    }
    const [oldest] = this.#generations.keys();
    if (this.#generations.size > RETAINED_GENERATIONS && oldest) {
      this.#generations.delete(oldest);
    }
  }

  #cutAll(): void {
    for (const generation of this.#generations.values()) {
      if (generation.isOver) continue;
      generation.cutByOrder();
      this.#model.cancel(generation.generationId);
    }
  }

  #noteReport(): void {
    const atMs = Date.now();
    this.#reports.push({ atMs, load: this.#currentLoad() });
    const { reportLagMs } = this.#options;
    while ((this.#reports[1]?.atMs ?? atMs) <= atMs - reportLagMs) {
      this.#reports.shift();
    }
  }

  // Leaving and the loaded state are told as they are; load lags.
  #laggingLoad(): RunnerLoad {
    const lagging = this.#reports[0]?.load ?? this.#currentLoad();
    const { isLeaving, state, fence } = this.#currentLoad();
    return { ...lagging, isLeaving, state, fence };
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
