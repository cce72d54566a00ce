import type { Result } from "@jujubeladder/types";
import { ByteCollector } from "../transport/byte_collector.js";
import type { StreamEvent } from "./stream_event.js";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const EVENT_ID = /^id: ?(\d+)\r?$/m;
const EVENT_FIELD = /^(?:id|data)(?::|\r?$)/m;
/** A line that is neither blank nor a comment nor a field. */
const FOREIGN_LINE = /^(?!\r?$|:|[\w-]+(?::|\r?$))/m;
/**
 * Limit for one event and the comments before it; events usually carry a few
 * tokens each.
 */
const MAX_EVENT_BYTES = 1_048_576;

/**
 * Splits a server-sent event stream into complete events, so that callers never
 * receive a partial event and another run can resume at the next event id.
 * Blocks without an id or data, such as comments, belong to the next event.
 */
export class EventSplitter {
  readonly #pending = new ByteCollector(MAX_EVENT_BYTES);
  /** Length of the complete blocks that are pending. */
  #blocksEnd = 0;

  /** True while an incomplete block is buffered. */
  get hasPartial(): boolean {
    return this.#pending.length > this.#blocksEnd;
  }

  /** Returns the events that the chunk completes, or why it can't be taken. */
  push(chunk: Buffer): Result<readonly StreamEvent[], string> {
    const pendingBytes = this.#pending.length;
    if (pendingBytes > 0) {
      const error = this.#pending.append(chunk);
      if (error) return { ok: false, error };
    }
    const bytes = pendingBytes > 0 ? this.#pending.bytes : chunk;
    const events: StreamEvent[] = [];
    let eventStart = 0;
    let blockStart = this.#blocksEnd;
    // A block's end may have begun with the last two bytes before the chunk.
    let searchStart = Math.max(blockStart, pendingBytes - 2);
    for (;;) {
      const end = findBlockEnd(bytes, searchStart);
      if (end === undefined) break;
      const block = bytes.subarray(blockStart, end).toString("latin1");
      // Such as the text of an error that a faulty runner adds to its stream.
      if (FOREIGN_LINE.test(block))
        return { ok: false, error: "the stream has a line that is no field" };
      if (EVENT_FIELD.test(block)) {
        events.push(toEvent(bytes.subarray(eventStart, end), block));
        eventStart = end;
      }
      blockStart = end;
      searchStart = end;
    }
    this.#blocksEnd = blockStart - eventStart;
    if (pendingBytes > 0 && events.length === 0) {
      return { ok: true, value: events };
    }
    // The events refer to the bytes that were pending.
    this.#pending.clear();
    const error = this.#pending.append(bytes.subarray(eventStart));
    return error ? { ok: false, error } : { ok: true, value: events };
  }

  /** Takes complete blocks that no event followed before the stream's end. */
  takeRest(): StreamEvent | undefined {
    if (this.hasPartial || this.#blocksEnd === 0) return undefined;
    const { bytes } = this.#pending;
    this.clear();
    return { bytes };
  }

  /** Forgets what is buffered. */
  clear(): void {
    this.#pending.clear();
    this.#blocksEnd = 0;
  }
}

// A block ends at a blank line, terminated by LF or CRLF.
function findBlockEnd(bytes: Buffer, start: number): number | undefined {
  for (
    let at = bytes.indexOf(LINE_FEED, start);
    at !== -1;
    at = bytes.indexOf(LINE_FEED, at + 1)
  ) {
    if (bytes[at + 1] === LINE_FEED) return at + 2;
    if (bytes[at + 1] === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) {
      return at + 3;
    }
  }
  return undefined;
}

function toEvent(bytes: Buffer, block: string): StreamEvent {
  const id = EVENT_ID.exec(block)?.[1];
  return { bytes, eventId: id === undefined ? undefined : Number(id) };
}
