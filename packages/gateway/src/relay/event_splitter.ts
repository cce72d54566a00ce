import type { StreamEvent } from "./stream_event.js";

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const EVENT_ID = /^id: ?(\d+)\r?$/m;
/** Limit for one event; events usually carry a few tokens each. */
const MAX_EVENT_BYTES = 1_048_576;

/**
 * Splits a server-sent event stream into complete events, so that callers never
 * receive a partial event and another run can resume at the next event id.
 */
export class EventSplitter {
  #pending: Buffer = Buffer.alloc(0);

  /** True while an incomplete event is buffered. */
  get hasPartial(): boolean {
    return this.#pending.length > 0;
  }

  /**
   * Returns the events that the chunk completes. Throws if an incomplete event
   * exceeds the size limit.
   */
  push(chunk: Buffer): readonly StreamEvent[] {
    const bytes =
      this.#pending.length === 0
        ? chunk
        : Buffer.concat([this.#pending, chunk]);
    const events: StreamEvent[] = [];
    let start = 0;
    for (;;) {
      const end = findEventEnd(bytes, start);
      if (end === undefined) break;
      events.push(toEvent(bytes.subarray(start, end)));
      start = end;
    }
    this.#pending = Buffer.from(bytes.subarray(start));
    if (this.#pending.length > MAX_EVENT_BYTES) {
      throw new Error(`an event is longer than ${MAX_EVENT_BYTES} bytes`);
    }
    return events;
  }
}

// An event ends at a blank line, terminated by LF or CRLF.
function findEventEnd(bytes: Buffer, start: number): number | undefined {
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

function toEvent(bytes: Buffer): StreamEvent {
  const id = EVENT_ID.exec(bytes.toString("latin1"))?.[1];
  return { bytes, eventId: id === undefined ? undefined : Number(id) };
}
