import { test } from "uvu";
import * as assert from "uvu/assert";
import { LeavingRunners } from "../leaving_runners.js";

const RETENTION_MS = 120_000;

test("peers do not keep the mark of a leaving runner from ending", () => {
  const own = new LeavingRunners();
  const peer = new LeavingRunners();
  assert.ok(own.add("runner", RETENTION_MS - 1_000));
  for (const { runnerId, ageMs } of own.list()) peer.add(runnerId, ageMs);
  const [mark] = peer.list();
  assert.ok(mark && mark.ageMs >= RETENTION_MS - 1_000, String(mark?.ageMs));
  assert.not(peer.add("ended", RETENTION_MS + 1));
  assert.not(peer.has("ended"));
});

test("a mark heard of again keeps its earliest time", () => {
  const runners = new LeavingRunners();
  runners.add("runner", 60_000);
  assert.not(runners.add("runner"));
  assert.not(runners.add("runner", 90_000));
  const [mark] = runners.list();
  assert.ok(mark && mark.ageMs >= 90_000, String(mark?.ageMs));
});

test.run();
