import { monotonicMs, sleep } from "@jujubeladder/utils";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { ChangeSignal } from "../views/change_signal.js";

const LONG_WAIT_MS = 5_000;
/** A check without a notification is due well within this time. */
const MAX_RECHECK_MS = 1_000;

test("waiters end at once when their own condition holds", async () => {
  const signal = new ChangeSignal();
  let value = 0;
  const ended: number[] = [];
  const waits = [1, 2].map(async (wanted) => {
    await signal.waitUntil(() => value >= wanted, LONG_WAIT_MS);
    ended.push(wanted);
  });
  for (const expected of [[1], [1, 2]]) {
    value += 1;
    signal.notify();
    await Promise.resolve();
    await Promise.resolve();
    assert.equal(ended, expected);
  }
  await Promise.all(waits);
});

test("a condition that changes without a notification is noticed", async () => {
  const signal = new ChangeSignal();
  let isDone = false;
  const startedAtMs = monotonicMs();
  const wait = signal.waitUntil(() => isDone, LONG_WAIT_MS);
  await sleep(10);
  isDone = true;
  await wait;
  assert.ok(monotonicMs() - startedAtMs < MAX_RECHECK_MS);
});

test("a wait ends after its time, others go on", async () => {
  const signal = new ChangeSignal();
  let isLongDone = false;
  const long = signal
    .waitUntil(() => isLongDone, LONG_WAIT_MS)
    .then(() => "ended");
  await signal.waitUntil(() => false, 50);
  assert.is(
    await Promise.race([long, sleep(200).then(() => "going")]),
    "going",
  );
  isLongDone = true;
  assert.is(await long, "ended");
  await signal.waitUntil(() => false, 0);
});

test.run();
