import { write, writeSync } from "node:fs";

/** Limit of the buffer for a slow reader. */
const MAX_PENDING_BYTES = 262_144;
/** Far above the rate at which a loaded instance writes. */
const MAX_LINES_PER_SECOND = 2_000;
const RATE_WINDOW_MS = 1_000;
/** Longest time that a line waits for others to be written with it. */
const MAX_DELAY_MS = 500;
/** Lines of this length in total are written without further delay. */
const BATCH_BYTES = 16_384;

/**
 * Writes lines to a file descriptor without blocking, several at a time. Drops
 * and counts lines when a slow reader fills the buffer or the line rate exceeds
 * its limit.
 */
export class BoundedWriter {
  readonly #fd: number;
  #pending: string[] = [];
  #pendingBytes = 0;
  #isWriting = false;
  #timer: NodeJS.Timeout | undefined;
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
    this.#schedule();
  }

  /** Writes the pending lines at once; for a process that exits. */
  flushSync(): void {
    const { bytes, lineCount } = this.#takePending();
    try {
      let offset = 0;
      while (offset < bytes.length) {
        offset += writeSync(this.#fd, bytes, offset);
      }
    } catch {
      // An error cannot be logged here; the lost lines are only counted.
      this.#droppedLines += lineCount;
    }
  }

  #schedule(): void {
    if (this.#isWriting || this.#pending.length === 0) return;
    if (this.#pendingBytes >= BATCH_BYTES) this.#flush();
    else {
      this.#timer ??= setTimeout(() => {
        this.#flush();
      }, MAX_DELAY_MS);
    }
  }

  #flush(): void {
    const { bytes, lineCount } = this.#takePending();
    this.#isWriting = true;
    this.#writeFrom(bytes, { offset: 0, lineCount });
  }

  #takePending(): { readonly bytes: Buffer; readonly lineCount: number } {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    const lineCount = this.#pending.length;
    const bytes = Buffer.from(
      this.#pending.map((line) => `${line}\n`).join(""),
    );
    this.#pending = [];
    this.#pendingBytes = 0;
    return { bytes, lineCount };
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
      this.#schedule();
    });
  }
}
