import { once } from "node:events";
import type { Response } from "express";
import { monotonicMs } from "@jujubeladder/utils";

const HEARTBEAT_MS = 1_000;

/**
 * Writes server-sent events to a caller, with heartbeats while idle. A slow
 * caller applies backpressure to the writer and so to the runner, instead of
 * growing the send buffer.
 */
export class SseWriter {
  readonly #res: Response;
  #heartbeat: NodeJS.Timeout | undefined;
  #lastWriteAtMs = 0;

  constructor(res: Response) {
    this.#res = res;
  }

  get isOpen(): boolean {
    return this.#heartbeat !== undefined;
  }

  /** Sends the headers; must be called before the first event. */
  open(): void {
    this.#res.writeHead(200, {
      "content-type": "text/event-stream; charset=utf-8",
      "cache-control": "no-cache",
      "x-accel-buffering": "no",
    });
    this.#heartbeat = setInterval(() => {
      this.#sendHeartbeat();
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
    this.#lastWriteAtMs = monotonicMs();
    if (this.#res.destroyed || this.#res.write(text)) return;
    const waitController = new AbortController();
    const { signal } = waitController;
    try {
      await Promise.race([
        once(this.#res, "drain", { signal }),
        once(this.#res, "close", { signal }),
      ]);
    } finally {
      waitController.abort();
    }
  }

  #sendHeartbeat(): void {
    const isIdle = monotonicMs() - this.#lastWriteAtMs >= HEARTBEAT_MS;
    if (isIdle && !this.#res.writableNeedDrain) {
      this.#res.write(": heartbeat\n\n");
    }
  }
}
