import { test } from "uvu";
import * as assert from "uvu/assert";
import { StoreReaderSelector } from "../decisions/store_reader_selector.js";

const FLEET = Array.from({ length: 60 }, (_, n) => ({
  instanceId: `10.0.0.${n}:1`,
  region: n < 40 ? "r1" : "r2",
}));

function createSelectors(fleet: typeof FLEET): readonly StoreReaderSelector[] {
  return fleet.map(
    (own) =>
      new StoreReaderSelector(own, () => fleet.filter((peer) => peer !== own)),
  );
}

function countReaders(selectors: readonly StoreReaderSelector[]): number {
  return selectors.filter((selector) => selector.pick() === undefined).length;
}

test("a few instances of each region read the store and the others ask them", () => {
  const selectors = createSelectors(FLEET);
  // Three of the 40 instances in r1 and two of the 20 in r2.
  assert.is(countReaders(selectors), 5);
  const readers = new Map(
    FLEET.filter((_, n) => selectors[n]?.pick() === undefined).map((reader) => [
      reader.instanceId,
      reader.region,
    ]),
  );
  FLEET.forEach((own, n) => {
    const picked = selectors[n]?.pick();
    if (picked !== undefined) assert.is(readers.get(picked), own.region);
  });
});

test("an instance without peers reads the store itself", () => {
  const [own] = FLEET;
  assert.ok(own);
  if (own) assert.is(new StoreReaderSelector(own, () => []).pick(), undefined);
});

test("instances that saw a reader fail agree on its replacement", () => {
  const selectors = createSelectors(FLEET.slice(0, 10));
  assert.is(countReaders(selectors), 1);
  const failed = selectors.map((selector) => selector.pick()).find(Boolean);
  assert.ok(failed !== undefined);
  if (failed === undefined) return;
  for (const selector of selectors) selector.recordFailure(failed);
  const others = selectors.filter((_, n) => FLEET[n]?.instanceId !== failed);
  assert.is(countReaders(others), 1);
  const picks = new Set(others.map((selector) => selector.pick()));
  assert.not(picks.has(failed));
  assert.is(picks.size, 2, "one instance reads and the others ask it");
});

test("a reader without store access asks its peers, then retries itself", () => {
  const fleet = FLEET.slice(0, 3);
  const selectors = createSelectors(fleet);
  const index = selectors.findIndex(
    (selector) => selector.pick() === undefined,
  );
  const reader = selectors[index];
  assert.ok(reader);
  if (!reader) return;
  reader.recordOwnFailure();
  const first = reader.pick();
  assert.ok(first !== undefined);
  if (first !== undefined) reader.recordFailure(first);
  const second = reader.pick();
  assert.ok(second !== undefined && second !== first);
  if (second !== undefined) reader.recordFailure(second);
  assert.is(reader.pick(), undefined);
});

test("after an outage that all have noticed, some instance reads at once", () => {
  const fleet = FLEET.slice(0, 10);
  const selectors = createSelectors(fleet);
  for (const selector of selectors) selector.recordOwnFailure();
  // Each finds that the peer it asks has no current view either.
  for (const selector of selectors) {
    const peer = selector.pick();
    if (peer !== undefined) selector.recordFailure(peer);
  }
  assert.is(countReaders(selectors), 1);
});

test.run();
