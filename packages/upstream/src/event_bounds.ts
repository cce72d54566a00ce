import { monotonicMs } from "@jujubeladder/utils";

const MAX_BYTES_WITHOUT_PROGRESS = 131_072;
/** Heartbeats and repeated events may go on for ever at this rate. */
const FREE_BYTES_PER_MS = 16;
const EVENT_TIMEOUT_MS = 10_000;
const LINE_END = /\r\n|\n|\r/;

/**
 * Bounds the bytes of a stream that are no progress, and the time in which an
 * event that has begun must end. Silence between events is not bounded here.
 */
export class EventBounds {
  readonly #readClockMs: () => number;
  #idleBytes = 0;
  #countedAtMs: number;
  #hasFields = false;
  #lineStart = "";
  #openSinceMs: number | undefined;

  constructor(readClockMs = monotonicMs) {
    this.#readClockMs = readClockMs;
    this.#countedAtMs = readClockMs();
  }

  /** Records that the stream has got further. */
  recordProgress(): void {
    this.#idleBytes = 0;
  }

  /** Counts text as it arrives; returns why the stream is no longer one. */
  accept(text: string): string | undefined {
    const nowMs = this.#readClockMs();
    const freeBytes = (nowMs - this.#countedAtMs) * FREE_BYTES_PER_MS;
    this.#countedAtMs = nowMs;
    this.#idleBytes = Math.max(0, this.#idleBytes - freeBytes) + text.length;
    if (this.#idleBytes > MAX_BYTES_WITHOUT_PROGRESS) {
      return "the stream goes on without progress";
    }
    this.#followEvent(text, nowMs);
    const openMs = nowMs - (this.#openSinceMs ?? nowMs);
    return openMs > EVENT_TIMEOUT_MS
      ? "an event of the stream does not end"
      : undefined;
  }

  #followEvent(text: string, nowMs: number): void {
    const lines = (this.#lineStart + text).split(LINE_END);
    const rest = lines.pop() ?? "";
    for (const line of lines) {
      if (line === "") {
        this.#openSinceMs = undefined;
        this.#hasFields = false;
      } else if (!line.startsWith(":")) this.#hasFields = true;
    }
    // One character is enough to tell a comment from a field.
    this.#lineStart = rest.slice(0, 1);
    if (rest === "" && !this.#hasFields) this.#openSinceMs = undefined;
    else this.#openSinceMs ??= nowMs;
  }
}
