import { write } from "node:fs";

/** Limit of the buffer for a slow reader. */
const MAX_PENDING_BYTES = 262_144;
/** Far above the rate at which a loaded instance writes. */
const MAX_LINES_PER_SECOND = 2_000;
const RATE_WINDOW_MS = 1_000;

/**
 * Writes lines to a file descriptor without blocking. Drops and counts lines
 * when a slow reader fills the buffer or the line rate exceeds its limit.
 */
export class BoundedWriter {
  readonly #fd: number;
  #pending: string[] = [];
  #pendingBytes = 0;
  #isWriting = false;
  #windowStartMs = 0;
  #linesInWindow = 0;
  #droppedLines = 0;

  constructor(fd: number) {
    this.#fd = fd;
  }

  /** Number of lines dropped since the writer was created. */
  get droppedLines(): number {
    return this.#droppedLines;
  }

  write(line: string): void {
    const nowMs = performance.now();
    if (nowMs - this.#windowStartMs > RATE_WINDOW_MS) {
      this.#windowStartMs = nowMs;
      this.#linesInWindow = 0;
    }
    this.#linesInWindow += 1;
    const isOverLimit =
      this.#linesInWindow > MAX_LINES_PER_SECOND ||
      this.#pendingBytes + line.length > MAX_PENDING_BYTES;
    if (isOverLimit) {
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
    this.#writeFrom(bytes, { offset: 0, lineCount });
  }

  #writeFrom(
    bytes: Buffer,
    progress: { readonly offset: number; readonly lineCount: number },
  ): void {
    write(this.#fd, bytes, progress.offset, (error, written) => {
      const offset = progress.offset + written;
      if (!error && offset < bytes.length) {
        this.#writeFrom(bytes, { ...progress, offset });
        return;
      }
      // A write error cannot be logged here; the lost lines are only counted.
      if (error) this.#droppedLines += progress.lineCount;
      this.#isWriting = false;
      this.#flush();
    });
  }
}
