import { test } from "uvu";
import * as assert from "uvu/assert";
import { readClocks } from "@jujubeladder/utils";
import type { StorePosition } from "../model/store_position.js";
import { RunnerWatchCache } from "../views/runner_watch_cache.js";
import { createRunner } from "./create_runner.js";

const BEFORE: StorePosition = { era: 1, revision: 100 };
const RESTORED: StorePosition = { era: 2, revision: 60 };
const CHANGED: StorePosition = { era: 2, revision: 62 };
const NO_WAIT = { waitMs: 0, shouldWait: () => true };

function createRestoredCache(changedAsOf = CHANGED) {
  const watchCache = new RunnerWatchCache();
  const replace = (runnerId: string, asOf: StorePosition) => {
    const read = { asOf, readAt: readClocks() };
    watchCache.replaceList([createRunner(runnerId)], read);
  };
  replace("old", BEFORE);
  replace("restored", RESTORED);
  const read = { asOf: changedAsOf, readAt: readClocks() };
  const runner = createRunner("new");
  watchCache.applyChanges([{ type: "put", runner }], read);
  return watchCache;
}

for (const [what, changedAsOf] of [
  ["is behind", CHANGED],
  ["has passed it again", { era: 2, revision: 120 }],
] as const) {
  test(`a follower misses no change after a restore when the revision ${what}`, async () => {
    const watchCache = createRestoredCache(changedAsOf);
    const update = await watchCache.readSince(BEFORE, NO_WAIT);
    if (update?.type !== "list") throw new Error(JSON.stringify(update));
    assert.equal(update.asOf, changedAsOf);
    assert.equal(
      update.runners.map(({ runnerId }) => runnerId),
      ["restored", "new"],
    );
  });
}

test("a follower of the new era gets only the changes", async () => {
  const update = await createRestoredCache().readSince(RESTORED, NO_WAIT);
  if (update?.type !== "changes") throw new Error(JSON.stringify(update));
  assert.is(update.changes.length, 1);
});

test("a view of the old era isn't told to a follower of the new one", async () => {
  const watchCache = new RunnerWatchCache();
  watchCache.replaceList([], { asOf: BEFORE, readAt: readClocks() });
  assert.is(await watchCache.readSince(RESTORED, NO_WAIT), undefined);
});

test("a follower misses no change after its reader has read an older list of the era", async () => {
  const watchCache = new RunnerWatchCache();
  const readAt = readClocks();
  const at = (revision: number) => ({ asOf: { era: 1, revision }, readAt });
  const runner = createRunner("gone");
  watchCache.replaceList([runner], at(100));
  // Its own reads fail; it gets the list of a peer that is behind.
  watchCache.replaceList([runner], at(95));
  const since = { era: 1, revision: 98 };
  const first = await watchCache.readSince(since, NO_WAIT);
  const { runnerId } = runner;
  watchCache.applyChanges([{ type: "removed", runnerId }], at(99));
  const second = await watchCache.readSince(first?.asOf ?? since, NO_WAIT);
  const hasHeard = [first, second].some(
    (update) => update?.type === "changes" && update.changes.length > 0,
  );
  const hasList = second?.type === "list" && second.runners.length === 0;
  assert.ok(hasHeard || hasList, JSON.stringify([first, second]));
});

test.run();
