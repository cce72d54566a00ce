import { monotonicMs, sleep } from "@jujubeladder/utils";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { FakeFleet } from "./fake_fleet.js";

const test = suite("push of evidence");
const FANOUT = 4;
/** Answers that are lost are waited for, then the peer is called. */
const SETTLE_MS = 1_000;

let stops: AbortController[] = [];
test.after.each(() => {
  for (const stop of stops) stop.abort();
  stops = [];
});

function startGossip(fleet: FakeFleet): void {
  for (const { membership } of fleet.present) {
    const stop = new AbortController();
    stops.push(stop);
    void membership.run(stop.signal);
  }
}

test("one push of nine instances reaches all the others at once", async () => {
  const fleet = new FakeFleet({ size: 9, seed: 1, delayMs: 20 });
  fleet.lose(0, "part");
  const tookMs = await fleet.waitUntilKnown("part", SETTLE_MS);
  assert.ok(tookMs < 250, `${tookMs} ms`);
  await sleep(200);
  const limit = 8 + 8 * 2;
  assert.ok(fleet.exchangeCount <= limit, `${fleet.exchangeCount} exchanges`);
});

test("each of thirty instances that learns news pushes it once", async () => {
  const fleet = new FakeFleet({ size: 30, seed: 2, delayMs: 20 });
  fleet.lose(0, "part");
  await sleep(500);
  const knowing = fleet.present.filter(({ parts }) => parts.has("part")).length;
  assert.ok(knowing >= 24, `${knowing} know it without regular gossip`);
  assert.ok(fleet.exchangeCount <= 30 * FANOUT);
  assert.is(fleet.exchangeCount, knowing * FANOUT);
});

for (const seed of [1, 2]) {
  test(`lost datagrams and gone instances keep news from none, seed ${seed}`, async () => {
    const fleet = new FakeFleet({
      size: 30,
      seed,
      delayMs: 40,
      lossShare: 0.1,
      goneCount: 4,
    });
    startGossip(fleet);
    await sleep(50);
    fleet.lose(0, "part");
    const tookMs = await fleet.waitUntilKnown("part", 2_000);
    assert.ok(tookMs < 1_200, `${tookMs} ms`);
  });
}

test("news reaches 195 instances well within the bound", async () => {
  const fleet = new FakeFleet({
    size: 195,
    seed: 4,
    delayMs: 40,
    lossShare: 0.1,
    goneCount: 10,
    pace: { intervalMs: 1_000, nearFanout: 1 },
  });
  startGossip(fleet);
  await sleep(50);
  fleet.lose(0, "part");
  const tookMs = await fleet.waitUntilKnown("part", 2_500);
  assert.ok(tookMs < 2_000, `${tookMs} ms`);
  const rounds = 1 + Math.ceil((50 + tookMs) / 750);
  const limit = 195 * (FANOUT + 2 * rounds);
  assert.ok(fleet.exchangeCount <= limit, `${fleet.exchangeCount} exchanges`);
});

test("a hundred news in a hundred milliseconds cause few pushes", async () => {
  const fleet = new FakeFleet({ size: 2, seed: 5, delayMs: 1 });
  const startedAtMs = monotonicMs();
  for (let index = 0; index < 100; index += 1) {
    fleet.lose(0, `part-${index}`);
    await sleep(1);
  }
  const newsMs = monotonicMs() - startedAtMs;
  const last = "part-99";
  assert.ok((await fleet.waitUntilKnown(last, SETTLE_MS)) < 200);
  await sleep(250);
  const pushCount = 2 + Math.ceil(newsMs / 100);
  // Each of the two instances pushes to the other.
  const limit = 2 * pushCount;
  assert.ok(fleet.exchangeCount <= limit, `${fleet.exchangeCount} exchanges`);
  const told = fleet.members[1]?.parts.merged.flat().map((p) => p.partId);
  assert.ok(told?.includes(last));
});

test("news that comes while a push waits for answers is pushed too", async () => {
  const fleet = new FakeFleet({ size: 9, seed: 6, delayMs: 150 });
  fleet.lose(0, "first");
  await sleep(20);
  fleet.lose(0, "second");
  assert.ok((await fleet.waitUntilKnown("second", SETTLE_MS)) < 400);
});

test("nothing is sent when nothing is new", async () => {
  const fleet = new FakeFleet({ size: 9, seed: 7, delayMs: 5 });
  await sleep(150);
  assert.is(fleet.exchangeCount, 0);
  fleet.lose(0, "part");
  await sleep(400);
  const { exchangeCount } = fleet;
  await fleet.members[3]?.membership.pushToAll();
  await sleep(300);
  assert.is(fleet.exchangeCount, exchangeCount + 8);
});

test.run();
