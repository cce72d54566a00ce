import { test } from "uvu";
import * as assert from "uvu/assert";
import { PartQuarantine } from "../part_quarantine.js";
import type { PartSuspicion } from "../part_suspicion.js";
import { TestClocks } from "./test_clocks.js";

const MINUTE_MS = 60_000;

function create() {
  const clocks = new TestClocks();
  const quarantine = new PartQuarantine({ readClocks: clocks.read });
  return { clocks, quarantine };
}

function statusOf(quarantine: PartQuarantine, ...partIds: string[]): string {
  return quarantine.status(partIds).type;
}

function quarantinePart(quarantine: PartQuarantine, partId: string): void {
  for (const n of [1, 2, 3])
    quarantine.recordLoss([partId], `${partId}-runner-${n}`);
}

test("a verdict expires on an instance that was suspended", () => {
  const { clocks, quarantine } = create();
  quarantinePart(quarantine, "deadly");
  clocks.wallMs += 11 * MINUTE_MS;
  assert.is(statusOf(quarantine, "deadly"), "suspect");
});

test("an instance that was suspended tells true ages", () => {
  const { clocks, quarantine } = create();
  quarantine.recordLived(["p"]);
  quarantine.recordLoss(["p"], "e1");
  clocks.wallMs += 30_000;
  clocks.monotonicMs += 5;
  const [entry] = quarantine.list(8);
  assert.ok(entry);
  assert.is(entry?.livedAgeMs, 30_000);
  assert.is(entry?.losses[0]?.ageMs, 30_000);
});

test("many suspects never push out a quarantined part", () => {
  const { clocks, quarantine } = create();
  quarantinePart(quarantine, "deadly");
  for (let n = 0; n < 2_000; n += 1) {
    clocks.advance(1);
    quarantine.recordLoss([`suspect-${n}`], `e${n}`);
  }
  assert.is(statusOf(quarantine, "deadly"), "quarantined");
  assert.is(statusOf(quarantine, "suspect-1999"), "suspect");
  assert.is(statusOf(quarantine, "suspect-0"), "clear");
  assert.ok(quarantine.list(10_000).length <= 256);
});

test("a part with more losses outlasts a flood of suspects", () => {
  const { clocks, quarantine } = create();
  quarantine.recordLoss(["deadly"], "a");
  quarantine.recordLoss(["deadly"], "b");
  for (let n = 0; n < 2_000; n += 1) {
    clocks.advance(1);
    quarantine.recordLoss([`suspect-${n}`], `e${n}`);
  }
  quarantine.recordLoss(["deadly"], "c");
  assert.is(statusOf(quarantine, "deadly"), "quarantined");
});

test("entries of peers are bounded, and odd ones harm no others", () => {
  const { quarantine } = create();
  const loss = { incarnationId: "e", ageMs: 1 };
  const odd: PartSuspicion[] = [
    { partId: "", losses: [loss], livedAgeMs: undefined },
    { partId: "x".repeat(10_000), losses: [loss], livedAgeMs: undefined },
    {
      partId: "odd-loss",
      losses: [
        { incarnationId: "y".repeat(10_000), ageMs: 1 },
        { incarnationId: "", ageMs: 1 },
        { incarnationId: "nan", ageMs: Number.NaN },
        { incarnationId: "future", ageMs: -5_000 },
        { incarnationId: "endless", ageMs: Number.POSITIVE_INFINITY },
      ],
      livedAgeMs: Number.NaN,
    },
  ];
  assert.is(quarantine.merge(odd), false);
  assert.is(quarantine.isEmpty, true);
  quarantine.merge([
    {
      partId: "many",
      losses: Array.from({ length: 5_000 }, (_, n) => ({
        incarnationId: `e${n}`,
        ageMs: n,
      })),
      livedAgeMs: undefined,
    },
  ]);
  assert.ok((quarantine.list(1)[0]?.losses.length ?? 0) <= 8);
  const flood = Array.from({ length: 5_000 }, (_, n) => ({
    partId: `p${n}`,
    losses: [loss],
    livedAgeMs: undefined,
  }));
  quarantine.merge(flood);
  assert.is(statusOf(quarantine, "many"), "quarantined");
  assert.ok(quarantine.list(10_000).length <= 256);
  assert.is(
    quarantine.merge([
      ...odd,
      {
        partId: "sound",
        losses: [loss],
        livedAgeMs: undefined,
      },
    ]),
    true,
    "a sound entry counts beside odd ones",
  );
});

test("a request with very many or very long parts is recorded only in part", () => {
  const { quarantine } = create();
  quarantine.recordLoss(
    ["z".repeat(10_000), ...Array.from({ length: 500 }, (_, n) => `p${n}`)],
    "e1",
  );
  assert.ok(quarantine.list(10_000).length <= 16);
  assert.is(quarantine.recordLoss(["p"], "r".repeat(10_000)), false);
});

test("peers that exchange entries in any order reach the same verdicts", () => {
  const clocks = new TestClocks();
  const peers = [0, 1, 2].map(
    () => new PartQuarantine({ readClocks: clocks.read }),
  );
  const [a, b, c] = peers;
  assert.ok(a && b && c);
  a?.recordLoss(["first", "deadly"], "e1");
  b?.recordLoss(["first", "deadly"], "e2");
  clocks.advance(50);
  c?.recordLoss(["first", "deadly"], "e3");
  clocks.advance(600);
  b?.recordLived(["first"], 200);
  const lists = peers.map((peer) => peer.list(32));
  for (const [index, peer] of peers.entries()) {
    const order = index % 2 ? lists : [...lists].reverse();
    for (const list of order) peer.merge(list);
    for (const list of lists) assert.is(peer.merge(list), false, "idempotent");
    assert.is(statusOf(peer, "deadly"), "quarantined");
    assert.is(statusOf(peer, "first"), "clear");
  }
});

test("a life told around for long does not grow newer on the way", () => {
  const clocks = new TestClocks();
  const a = new PartQuarantine({ readClocks: clocks.read });
  const b = new PartQuarantine({ readClocks: clocks.read });
  a.recordLoss(["p"], "e0");
  a.recordLived(["p"]);
  b.merge(a.list(8));
  for (let round = 0; round < 50; round += 1) {
    const [from, to] = round % 2 ? [a, b] : [b, a];
    const list = from.list(8);
    clocks.advance(100);
    to.merge(list);
  }
  assert.is(a.list(1)[0]?.livedAgeMs, 5_000);
  assert.ok((b.list(1)[0]?.livedAgeMs ?? 0) >= 5_000);
});

test("a peer whose clock was set forward does not end a verdict", () => {
  const { clocks, quarantine } = create();
  quarantinePart(quarantine, "deadly");
  clocks.advance(100);
  const aged = quarantine.list(8).map((entry) => ({
    ...entry,
    losses: entry.losses.map(({ incarnationId }) => ({
      incarnationId,
      ageMs: 30 * MINUTE_MS,
    })),
  }));
  for (let n = 0; n < 100; n += 1) quarantine.merge(aged);
  assert.is(statusOf(quarantine, "deadly"), "quarantined");
});

test("gossip names quarantined parts first and keeps to its limit", () => {
  const { clocks, quarantine } = create();
  for (let n = 0; n < 40; n += 1) quarantine.recordLoss([`s${n}`], `e${n}`);
  quarantinePart(quarantine, "deadly");
  clocks.advance(100);
  quarantine.recordLoss(["late"], "e-late");
  const list = quarantine.list(4);
  assert.is(list.length, 4);
  assert.is(list[0]?.partId, "deadly");
  assert.is(list[1]?.partId, "late");
  const ages = list[0]?.losses.map(({ ageMs }) => ageMs) ?? [];
  assert.equal(
    [...ages].sort((x, y) => x - y),
    ages,
  );
});

test.run();
