import type { Response } from "express";
import type { EngineModelStream } from "./engine_model_stream.js";
import type { GenerationTruth } from "./generation_truth.js";

/** One generation of the stand-in engine and its attached readers. */
export class Generation {
  readonly generationId: string;
  readonly content: string;
  readonly stream: EngineModelStream;
  readonly startedAtMs = Date.now();
  readonly #readers = new Map<Response, number>();
  #isFinished = false;
  #isCancelled = false;
  #isCutByOrder = false;
  #detachedSinceMs = Date.now();

  constructor(
    generationId: string,
    content: string,
    stream: EngineModelStream,
  ) {
    this.generationId = generationId;
    this.content = content;
    this.stream = stream;
  }

  get isOver(): boolean {
    return this.#isFinished || this.#isCancelled;
  }

  /** Time since the last reader closed; 0 while one is attached. */
  get detachedMs(): number {
    return this.#readers.size > 0 ? 0 : Date.now() - this.#detachedSinceMs;
  }

  /** Streams the tokens from `offset` on, those still to come included. */
  attach(response: Response, offset: number): void {
    response.writeHead(200, { "content-type": "text/event-stream" });
    response.flushHeaders();
    this.#readers.set(response, offset);
    response.on("drain", () => {
      this.flush();
    });
    response.on("close", () => {
      this.#readers.delete(response);
      this.#detachedSinceMs = Date.now();
    });
    this.flush();
  }

  /** Writes outstanding tokens to each reader, subject to backpressure. */
  flush(): void {
    for (const [response, start] of this.#readers) {
      let offset = start;
      while (offset < this.stream.producedTokens) {
        if (response.writableNeedDrain) break;
        response.write(this.#formatToken(offset));
        offset += 1;
      }
      this.#readers.set(response, offset);
      if (this.#isFinished && offset === this.stream.producedTokens) {
        response.end(this.#formatEnd());
      }
    }
  }

  sendPreempted(): void {
    this.#broadcast("event: preempted\ndata: {}\n\n");
  }

  heartbeat(): void {
    this.#broadcast(": heartbeat\n\n");
  }

  finish(): void {
    this.#isFinished = true;
    this.flush();
  }

  cancel(): void {
    this.#isCancelled = true;
    for (const response of this.#readers.keys()) response.destroy();
  }

  cancelByOrder(): void {
    this.#isCutByOrder = true;
    this.cancel();
  }

  /** Ground truth of this generation, for checks. */
  truth(): GenerationTruth {
    return {
      generationId: this.generationId,
      content: this.content,
      startedAtMs: this.startedAtMs,
      producedTokens: this.stream.producedTokens,
      isFinished: this.#isFinished,
      isCancelled: this.#isCancelled,
      isCutByOrder: this.#isCutByOrder,
    };
  }

  #broadcast(text: string): void {
    for (const response of this.#readers.keys()) {
      if (!response.writableNeedDrain) response.write(text);
    }
  }

  #formatToken(offset: number): string {
    const text = `w${offset}.${this.generationId.slice(0, 6)} `;
    return this.#formatChunk(offset, { content: text }, null);
  }

  #formatEnd(): string {
    const offset = this.stream.producedTokens;
    return this.#formatChunk(offset, {}, "stop") + "data: [DONE]\n\n";
  }

  #formatChunk(
    offset: number,
    delta: { readonly content?: string },
    finishReason: string | null,
  ): string {
    const chunk = {
      id: this.generationId,
      object: "chat.completion.chunk",
      choices: [{ index: 0, delta, finish_reason: finishReason }],
    };
    return `id: ${offset}\ndata: ${JSON.stringify(chunk)}\n\n`;
  }
}
