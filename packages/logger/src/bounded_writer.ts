import { write } from "node:fs";

/** Bytes that may wait for a slow reader. */
const MAX_PENDING_BYTES = 262_144;
/** Lines a second; far above what a loaded instance writes. */
const MAX_LINES_PER_SECOND = 2_000;
const SECOND_MS = 1_000;

/**
 * Writes lines to a file descriptor without ever blocking: what a slow reader
 * or a burst would hold up is dropped and counted.
 */
export class BoundedWriter {
  readonly #fd: number;
  #pending: string[] = [];
  #pendingBytes = 0;
  #isWriting = false;
  #secondStartMs = 0;
  #linesInSecond = 0;
  #droppedLines = 0;

  constructor(fd: number) {
    this.#fd = fd;
  }

  /** Lines dropped since the start. */
  get droppedLines(): number {
    return this.#droppedLines;
  }

  write(line: string): void {
    const nowMs = performance.now();
    if (nowMs - this.#secondStartMs > SECOND_MS) {
      this.#secondStartMs = nowMs;
      this.#linesInSecond = 0;
    }
    this.#linesInSecond += 1;
    const isOver =
      this.#linesInSecond > MAX_LINES_PER_SECOND ||
      this.#pendingBytes + line.length > MAX_PENDING_BYTES;
    if (isOver) {
      this.#droppedLines += 1;
      return;
    }
    this.#pending.push(line);
    this.#pendingBytes += line.length;
    this.#flush();
  }

  #flush(): void {
    if (this.#isWriting || this.#pending.length === 0) return;
    const lineCount = this.#pending.length;
    const bytes = Buffer.from(`${this.#pending.join("\n")}\n`);
    this.#pending = [];
    this.#pendingBytes = 0;
    this.#isWriting = true;
    this.#writeFrom(bytes, { at: 0, lineCount });
  }

  #writeFrom(
    bytes: Buffer,
    progress: { readonly at: number; readonly lineCount: number },
  ): void {
    write(this.#fd, bytes, progress.at, (error, written) => {
      const at = progress.at + written;
      if (!error && at < bytes.length) {
        this.#writeFrom(bytes, { ...progress, at });
        return;
      }
      // Nobody reads; the count is all that can still be told.
      if (error) this.#droppedLines += progress.lineCount;
      this.#isWriting = false;
      this.#flush();
    });
  }
}
