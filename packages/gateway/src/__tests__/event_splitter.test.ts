import fc from "fast-check";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { EventSplitter } from "../relay/event_splitter.js";
import { RESPONSE_MEMORY } from "../transport/response_memory.js";

const STREAM =
  "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: no id\n\nid:3\n\n";

function push(splitter: EventSplitter, bytes: Buffer) {
  const events = splitter.push(bytes);
  if (!events.ok) throw new Error(events.error);
  return events.value;
}

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
          push(splitter, bytes.subarray(ends[index - 1] ?? 0, end)),
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

for (const text of [
  "HTTP/1.1 500 Error\r\ncontent-length: 5\r\n\r\n",
  "internal error\n\n",
  "internal error\nid: 1\ndata: x\n\n",
]) {
  test(`takes no block with a line that is no field (${JSON.stringify(text)})`, () => {
    assert.not(new EventSplitter().push(Buffer.from(text)).ok);
  });
}

test("takes events with fields of other names", () => {
  const text = "x-weight-versions: 3\nid: 1\nevent: token\nretry\ndata\n\n";
  assert.is(push(new EventSplitter(), Buffer.from(text)).length, 1);
});

test("buffers a partial event", () => {
  const splitter = new EventSplitter();
  assert.is(push(splitter, Buffer.from("id: 1\ndata: x\n")).length, 0);
  assert.ok(splitter.hasPartial);
});

test("blocks without an id or data go with the next event", () => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 30 }), (size) => {
      const text = ": a\n\n\n\nretry: 1\n\nid: 1\ndata: x\n\n: b\n\n";
      const splitter = new EventSplitter();
      const events = [];
      for (let at = 0; at < text.length; at += size) {
        const chunk = Buffer.from(text.slice(at, at + size));
        events.push(...push(splitter, chunk));
      }
      assert.equal(
        events.map(({ bytes }) => bytes.toString()),
        [text.slice(0, -5)],
      );
      assert.is(events[0]?.eventId, 1);
      assert.not(splitter.hasPartial);
      assert.is(splitter.takeRest()?.bytes.toString(), ": b\n\n");
      assert.is(splitter.takeRest(), undefined);
    }),
  );
});

test("a line or comments without end are refused in linear time", () => {
  for (const unit of [
    "x".repeat(16),
    ": 0123456789ab\n\n",
    "data: 01234567\n",
  ]) {
    const splitter = new EventSplitter();
    const chunk = Buffer.from(unit);
    const startedAtMs = performance.now();
    let bytes = 0;
    while (splitter.push(chunk).ok) bytes += chunk.length;
    assert.ok(bytes > 1_048_000 && bytes <= 1_048_576, `${bytes} bytes`);
    const tookMs = performance.now() - startedAtMs;
    assert.ok(tookMs < 2_000, `${tookMs} ms`);
    splitter.clear();
  }
  assert.is(RESPONSE_MEMORY.usedBytes, 0);
});

test.run();
