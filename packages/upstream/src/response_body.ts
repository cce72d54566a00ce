import { errors } from "undici";

/** Bytes that wait to be read before the sender is held up. */
const MAX_QUEUED_BYTES = 65_536;

/** Holds the sender of a body up, and lets it go on. */
interface Flow {
  hold(): void;
  release(): void;
}

/**
 * A response's body as it arrives. While the reader does not keep up, its sender
 * is held up and may be silent; otherwise the body fails after `silenceMs`
 * without a byte.
 */
export class ResponseBody implements AsyncIterable<Uint8Array> {
  readonly #flow: Flow;
  readonly #silenceMs: number;
  readonly #chunks: Uint8Array[] = [];
  #byteCount = 0;
  #isHeld = false;
  #end: { readonly error: Error | undefined } | undefined;
  #timer: NodeJS.Timeout | undefined;
  #wake: () => void = () => undefined;

  constructor(flow: Flow, silenceMs: number) {
    this.#flow = flow;
    this.#silenceMs = silenceMs;
    this.#awaitBytes();
  }

  push(chunk: Uint8Array): void {
    if (this.#end) return;
    this.#chunks.push(chunk);
    this.#byteCount += chunk.byteLength;
    if (this.#byteCount >= MAX_QUEUED_BYTES) this.#hold();
    else this.#awaitBytes();
    this.#wake();
  }

  /** Ends the body behind what has arrived, with an error if it is not whole. */
  end(error?: Error): void {
    clearTimeout(this.#timer);
    this.#end ??= { error };
    this.#wake();
  }

  async *[Symbol.asyncIterator](): AsyncGenerator<Uint8Array, void, void> {
    for (;;) {
      const chunk = this.#chunks.shift();
      if (chunk) {
        this.#byteCount -= chunk.byteLength;
        if (this.#byteCount < MAX_QUEUED_BYTES) this.#release();
        yield chunk;
      } else if (this.#end) {
        if (this.#end.error) throw this.#end.error;
        return;
      } else {
        await new Promise<void>((resolve) => {
          this.#wake = resolve;
        });
      }
    }
  }

  #hold(): void {
    clearTimeout(this.#timer);
    this.#isHeld = true;
    this.#flow.hold();
  }

  #release(): void {
    if (!this.#isHeld) return;
    this.#isHeld = false;
    this.#flow.release();
    if (!this.#end) this.#awaitBytes();
  }

  // Bytes that arrived while the process was suspended are read first.
  #awaitBytes(): void {
    clearTimeout(this.#timer);
    const timer = setTimeout(() => {
      setImmediate(() => {
        if (this.#timer === timer) this.end(new errors.BodyTimeoutError());
      });
    }, this.#silenceMs);
    this.#timer = timer;
  }
}
