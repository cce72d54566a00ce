import { test } from "uvu";
import * as assert from "uvu/assert";
import type { EngineEvent } from "../engine_event.js";
import { EventBounds } from "../event_bounds.js";
import { readEngineEvents } from "../read_engine_events.js";

const HEARTBEAT_MS = 250;
const DAY_MS = 24 * 60 * 60 * 1_000;
const PIECES = 2_000;

function formatToken(id: string): string {
  const choice = { delta: { content: "x" }, finish_reason: null };
  return `${id}data: ${JSON.stringify({ id: "g1", choices: [choice] })}\n\n`;
}

async function readAll(pieces: Iterable<string>): Promise<EngineEvent[]> {
  async function* toBody(): AsyncGenerator<Uint8Array> {
    for (const piece of pieces) yield new TextEncoder().encode(piece);
  }
  const events: EngineEvent[] = [];
  for await (const event of readEngineEvents(toBody(), "g1")) {
    events.push(event);
  }
  return events;
}

function isInvalid(event: EngineEvent | undefined): boolean {
  return event?.type === "broken" && event.cause === "invalid";
}

const FLOODS: Readonly<Record<string, string>> = {
  "comments without end": `: ${"x".repeat(200)}\n`,
  "a line without end": "x".repeat(200),
  "an event without end": `data: ${"x".repeat(200)}\n`,
  "preemptions without end": `event: preempted\ndata: ${"x".repeat(200)}\n\n`,
  "one token without end": formatToken("id: 0\n"),
};
for (const [name, piece] of Object.entries(FLOODS)) {
  test(`the stream breaks on ${name}`, async () => {
    const events = await readAll(Array.from({ length: PIECES }, () => piece));
    assert.ok(isInvalid(events.at(-1)));
    assert.ok(events.length < PIECES);
  });
}

test("tokens that go on are no flood", async () => {
  const pieces = Array.from({ length: PIECES }, (_, offset) =>
    formatToken(`id: ${offset}\n`),
  );
  const events = await readAll(pieces);
  assert.is(events.filter((event) => event.type === "token").length, PIECES);
});

test("a token without an offset is not taken for the next one", async () => {
  for (const id of ["", "id: \n", "id: x\n", "id: 1.5\n"]) {
    const [first] = await readAll([formatToken(id)]);
    assert.ok(isInvalid(first), id);
  }
});

test("heartbeats and silence may go on for a day", () => {
  for (const heartbeat of [": heartbeat\n\n", ": heartbeat\n", ":\r\n"]) {
    let nowMs = 0;
    const bounds = new EventBounds(() => nowMs);
    for (; nowMs < DAY_MS; nowMs += HEARTBEAT_MS) {
      assert.is(bounds.accept(heartbeat), undefined);
    }
    nowMs += DAY_MS;
    assert.is(bounds.accept("id: 0\nda"), undefined);
    assert.is(bounds.accept("ta: x\n\n"), undefined);
  }
});

test("an event that drips ends the stream", () => {
  for (const piece of ["x", ":", "data: x\n", "\u00e9"]) {
    let nowMs = 0;
    const bounds = new EventBounds(() => nowMs);
    bounds.accept("data");
    let reason: string | undefined;
    while (reason === undefined && nowMs < DAY_MS) {
      nowMs += 1_000;
      reason = bounds.accept(piece);
    }
    assert.ok(nowMs < 20_000, `${piece} after ${nowMs} ms`);
  }
});

test.run();
