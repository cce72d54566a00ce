import { once } from "node:events";
import type { Response } from "express";
import { monotonicMs } from "@jujubeladder/utils";

const HEARTBEAT_MS = 1_000;

/**
 * Writes server-sent events to a caller. A slow caller holds up the writer,
 * and so the runner, instead of filling memory.
 */
export class SseWriter {
  readonly #res: Response;
  #heartbeat: NodeJS.Timeout | undefined;
  #wroteAtMs = 0;

  constructor(res: Response) {
    this.#res = res;
  }

  get isOpen(): boolean {
    return this.#heartbeat !== undefined;
  }

  /** Sends the headers; called before the first event. */
  open(): void {
    this.#res.writeHead(200, {
      "content-type": "text/event-stream; charset=utf-8",
      "cache-control": "no-cache",
      "x-accel-buffering": "no",
    });
    this.#heartbeat = setInterval(() => {
      this.#beat();
    }, HEARTBEAT_MS);
  }

  async write(event: {
    readonly name?: string;
    readonly id?: string;
    readonly data: string;
  }): Promise<void> {
    const name = event.name === undefined ? "" : `event: ${event.name}\n`;
    const id = event.id === undefined ? "" : `id: ${event.id}\n`;
    await this.#send(`${name}${id}data: ${event.data}\n\n`);
  }

  end(): void {
    clearInterval(this.#heartbeat);
    this.#res.end();
  }

  async #send(text: string): Promise<void> {
    this.#wroteAtMs = monotonicMs();
    if (this.#res.destroyed || this.#res.write(text)) return;
    const settled = new AbortController();
    const { signal } = settled;
    try {
      await Promise.race([
        once(this.#res, "drain", { signal }),
        once(this.#res, "close", { signal }),
      ]);
    } finally {
      settled.abort();
    }
  }

  #beat(): void {
    const isQuiet = monotonicMs() - this.#wroteAtMs >= HEARTBEAT_MS;
    if (isQuiet && !this.#res.writableNeedDrain) {
      this.#res.write(": heartbeat\n\n");
    }
  }
}
