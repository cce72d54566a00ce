import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EventSplitter } from "../relay/event_splitter.js";

const STREAM =
  "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: no id\n\nid:3\n\n";

test("finds the same complete events for any chunk boundaries", () => {
  fc.assert(
    fc.property(
      fc.uniqueArray(fc.integer({ min: 1, max: STREAM.length - 1 })),
      (boundaries) => {
        const splitter = new EventSplitter();
        const bytes = Buffer.from(STREAM);
        const events = [
          ...boundaries.sort((a, b) => a - b),
          bytes.length,
        ].flatMap((end, index, ends) =>
          splitter.push(bytes.subarray(ends[index - 1] ?? 0, end)),
        );
        assert.is(Buffer.concat(events.map((e) => e.bytes)).toString(), STREAM);
        assert.equal(
          events.map((e) => e.eventId),
          [1, 2, undefined, 3],
        );
        assert.not(splitter.hasPartial);
      },
    ),
  );
});

test("buffers a partial event", () => {
  const splitter = new EventSplitter();
  assert.is(splitter.push(Buffer.from("id: 1\ndata: x\n")).length, 0);
  assert.ok(splitter.hasPartial);
});

test.run();
