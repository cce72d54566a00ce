import type { CacheEvent } from "./cache_event.js";
import type { EngineModelStream } from "./engine_model_stream.js";
import type { EngineOptions } from "./engine_options.js";
import type { EngineStep } from "./engine_step.js";

const MAX_CACHED_PREFIXES = 64;
/** Share of capacity that admission leaves free for running streams. */
const ADMISSION_HEADROOM = 0.02;
const MAX_CACHE_EVENTS = 100;

/**
 * Simulates continuous batching with a limited KV cache. Each step produces
 * one token per running stream. When the cache is full, the stream of least
 * priority is preempted; its context is recomputed when it is admitted again.
 */
export class EngineModel {
  readonly #options: EngineOptions;
  readonly #prefixes = new Set<string>();
  readonly #cacheEvents: CacheEvent[] = [];
  #running: EngineModelStream[] = [];
  #waiting: EngineModelStream[] = [];
  #preemptions = 0;

  constructor(options: EngineOptions) {
    this.#options = options;
  }

  get runningCount(): number {
    return this.#running.length;
  }

  get waitingCount(): number {
    return this.#waiting.length;
  }

  get preemptions(): number {
    return this.#preemptions;
  }

  /** The latest changes of the prefix cache, oldest first. */
  get cacheEvents(): readonly CacheEvent[] {
    return this.#cacheEvents;
  }

  get usedTokens(): number {
    return this.#running.reduce(
      (sum, stream) => sum + countContextTokens(stream),
      0,
    );
  }

  add(stream: EngineModelStream): void {
    this.#waiting.push(stream);
  }

  cancel(streamId: string): void {
    const isOther = (stream: EngineModelStream) => stream.streamId !== streamId;
    this.#running = this.#running.filter(isOther);
    this.#waiting = this.#waiting.filter(isOther);
  }

  /** Runs one step; the caller waits `durationMs` before the next. */
  step(): EngineStep {
    const prefillTokens = this.#admitWaiting();
    const preempted = this.#preemptUntilFits();
    for (const stream of this.#running) stream.producedTokens += 1;
    const produced = [...this.#running];
    const finished = produced.filter(isDone);
    this.#running = this.#running.filter((stream) => !isDone(stream));
    const { baseStepMs, streamStepMs, prefillMsPerToken } = this.#options;
    const durationMs =
      baseStepMs +
      streamStepMs * produced.length +
      prefillMsPerToken * prefillTokens;
    return { durationMs, produced, preempted, finished };
  }

  #admitWaiting(): number {
    this.#waiting.sort((a, b) => a.priority - b.priority);
    const { capacityTokens, maxBatch } = this.#options;
    const limit = capacityTokens * (1 - ADMISSION_HEADROOM);
    let used = this.usedTokens;
    let prefillTokens = 0;
    while (this.#running.length < maxBatch) {
      const next = this.#waiting[0];
      if (!next) break;
      const isAlone = this.#running.length === 0;
      if (used + countContextTokens(next) > limit && !isAlone) break;
      this.#waiting.shift();
      this.#running.push(next);
      used += countContextTokens(next);
      prefillTokens += this.#countPrefillTokens(next);
    }
    return prefillTokens;
  }

  #countPrefillTokens(stream: EngineModelStream): number {
    const isCached = this.#prefixes.delete(stream.prefixKey);
    if (!isCached) this.#recordCacheEvent("stored", stream.prefixKey);
    this.#prefixes.add(stream.prefixKey);
    const [oldest] = this.#prefixes;
    if (this.#prefixes.size > MAX_CACHED_PREFIXES && oldest !== undefined) {
      this.#prefixes.delete(oldest);
      this.#recordCacheEvent("evicted", oldest);
    }
    return isCached ? stream.producedTokens : countContextTokens(stream);
  }

  #recordCacheEvent(type: CacheEvent["type"], prefixKey: string): void {
    const sequence = (this.#cacheEvents.at(-1)?.sequence ?? 0) + 1;
    this.#cacheEvents.push({ sequence, type, prefixKey });
    if (this.#cacheEvents.length > MAX_CACHE_EVENTS) this.#cacheEvents.shift();
  }

  #preemptUntilFits(): readonly EngineModelStream[] {
    const preempted: EngineModelStream[] = [];
    this.#running.sort((a, b) => a.priority - b.priority);
    while (
      this.#running.length > 1 &&
      this.usedTokens + this.#running.length > this.#options.capacityTokens
    ) {
      const victim = this.#running.pop();
      if (!victim) break;
      preempted.push(victim);
      this.#waiting.push(victim);
    }
    this.#preemptions += preempted.length;
    return preempted;
  }
}

function countContextTokens(stream: EngineModelStream): number {
  return stream.promptTokens + stream.producedTokens;
}

function isDone(stream: EngineModelStream): boolean {
  return stream.producedTokens >= stream.outputTokens;
}
