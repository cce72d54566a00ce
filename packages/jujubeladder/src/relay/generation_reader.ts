import type { GenerationEvent, StreamHandle } from "@jujubeladder/types";
import {
  EngineClient,
  type BreakCause,
  type EngineStream,
  type OpenOutcome,
} from "@jujubeladder/upstream";
import {
  computeBackoffMs,
  Deadline,
  monotonicMs,
  sleep,
  type SealBox,
} from "@jujubeladder/utils";
import type { Metrics } from "@jujubeladder/metrics";
import type { AttemptResult } from "./attempt_result.js";

const STALL_THRESHOLD_MS = 500;
/** Connections in a row that bring no token and what is no stream. */
const MAX_INVALID_CONNECTIONS = 3;
const CONNECTION_REFUSED = "ECONNREFUSED";

const ABANDONED: Extract<AttemptResult, { type: "abandoned" }> = {
  type: "abandoned",
  reason: "the caller left",
};

/** Options of a reader, besides the generation's handle. */
interface ReaderOptions {
  readonly silenceMs: number;
  readonly resumeWindowMs: number;
  readonly firstOffset: number;
  readonly sealBox: SealBox;
  readonly metrics: Metrics;
  readonly signal: AbortSignal;
  readonly onProgress: (producedTokens: number) => void;
}

/** How reading one connection ended. */
type ConnectionEnd = "finished" | BreakCause;

/** Why a generation was lost, whether or not it had started. */
interface Loss {
  readonly type: "lost";
  readonly reason: string;
  readonly isCrash: boolean;
}

/** A stream that continues the generation, or why there is none. */
type Resumption =
  | { readonly type: "stream"; readonly stream: EngineStream }
  | Extract<AttemptResult, { type: "abandoned" }>
  | Loss;

/**
 * Reads one generation to its end, reconnecting as needed. Each token is
 * yielded once and in order. A connection that is silent or breaks is closed,
 * and the generation is resumed at the next token.
 */
export class GenerationReader {
  readonly #handle: StreamHandle;
  readonly #sealedHandle: string;
  readonly #client: EngineClient;
  readonly #options: ReaderOptions;
  #nextOffset: number;
  /** A stream was opened, which an engine does only for a started generation. */
  #hasStarted: boolean;
  #lastTokenAtMs: number | undefined;

  constructor(handle: StreamHandle, options: ReaderOptions) {
    this.#handle = handle;
    this.#sealedHandle = options.sealBox.seal(handle);
    this.#client = new EngineClient(handle);
    this.#options = options;
    this.#nextOffset = options.firstOffset;
    this.#hasStarted = options.firstOffset > 0;
  }

  get nextOffset(): number {
    return this.#nextOffset;
  }

  /** Cancels the generation on its runner (best effort). */
  async cancel(): Promise<void> {
    await this.#client.cancelGeneration(this.#handle.generationId);
  }

  /** Reads an open stream; without one, resumes at the next offset. */
  async *read(
    opened?: EngineStream,
  ): AsyncGenerator<GenerationEvent, AttemptResult, void> {
    let stream = opened;
    let fruitlessCount = 0;
    let invalidCount = 0;
    for (;;) {
      if (!stream) {
        const resumption = await this.#resume();
        if (resumption.type === "lost") return this.#toLost(resumption);
        if (resumption.type === "abandoned") return resumption;
        stream = resumption.stream;
      }
      this.#hasStarted = true;
      const offsetBefore = this.#nextOffset;
      let end: ConnectionEnd;
      try {
        end = yield* this.#readConnection(stream);
      } finally {
        stream.close();
      }
      if (end === "finished") return { type: "finished" };
      stream = undefined;
      if (this.#options.signal.aborted) return ABANDONED;
      const isFruitless = this.#nextOffset === offsetBefore;
      fruitlessCount = isFruitless ? fruitlessCount + 1 : 0;
      invalidCount = isFruitless ? invalidCount : 0;
      if (end === "invalid") invalidCount += 1;
      if (invalidCount >= MAX_INVALID_CONNECTIONS) {
        return this.#toLost(lost("the runner sends no valid stream", false));
      }
      if (end !== "silent" && fruitlessCount > 1) {
        const backoffMs = computeBackoffMs(fruitlessCount - 2);
        await sleep(backoffMs, this.#options.signal);
      }
    }
  }

  async *#readConnection(
    stream: EngineStream,
  ): AsyncGenerator<GenerationEvent, ConnectionEnd, void> {
    for await (const event of stream.events) {
      switch (event.type) {
        case "token":
          if (event.offset < this.#nextOffset) continue;
          if (event.offset > this.#nextOffset) return "invalid";
          this.#nextOffset += 1;
          this.#recordToken();
          yield {
            type: "token",
            text: event.text,
            offset: event.offset,
            handle: `${this.#sealedHandle}.${event.offset}`,
          };
          continue;
        case "preempted":
          this.#options.metrics.count("preemptions_seen");
          continue;
        case "finished":
          if (event.tokenCount !== this.#nextOffset) return "invalid";
          yield {
            type: "finished",
            finishReason: event.finishReason,
            tokenCount: event.tokenCount,
          };
          return "finished";
        case "broken":
          return event.cause;
      }
    }
    return "closed";
  }

  async #resume(): Promise<Resumption> {
    const { signal, silenceMs, resumeWindowMs } = this.#options;
    const deadline = new Deadline(resumeWindowMs);
    for (let attempt = 0; ; attempt += 1) {
      this.#options.metrics.count("resumes");
      const outcome = await this.#client.resumeGeneration(
        this.#handle.generationId,
        { offset: this.#nextOffset, silenceMs, signal },
      );
      const resumption = toResumption(outcome);
      if (resumption) return resumption;
      if (signal.aborted) return ABANDONED;
      if (deadline.hasPassed) return lost("the runner is unreachable", false);
      await sleep(computeBackoffMs(attempt), signal);
    }
  }

  #toLost(loss: Loss): AttemptResult {
    const outcome = this.#hasStarted ? "ran_incomplete" : "may_have_run";
    return { ...loss, outcome };
  }

  #recordToken(): void {
    const { metrics, onProgress } = this.#options;
    const nowMs = monotonicMs();
    if (this.#lastTokenAtMs !== undefined) {
      const gapMs = nowMs - this.#lastTokenAtMs;
      metrics.record("token_gap_ms", gapMs);
      if (gapMs > STALL_THRESHOLD_MS) metrics.record("stall_ms", gapMs);
    }
    this.#lastTokenAtMs = nowMs;
    metrics.count("tokens");
    onProgress(this.#nextOffset);
  }
}

// Returns undefined if another attempt may succeed.
function toResumption(outcome: OpenOutcome): Resumption | undefined {
  switch (outcome.type) {
    case "opened":
      return { type: "stream", stream: outcome.stream };
    case "missing":
      return lost("the runner does not know the generation", true);
    case "unreachable":
      return outcome.reason === CONNECTION_REFUSED
        ? lost("the runner is gone", true)
        : undefined;
    case "refused":
    case "unknown":
      return undefined;
  }
}

function lost(reason: string, isCrash: boolean): Loss {
  return { type: "lost", reason, isCrash };
}
