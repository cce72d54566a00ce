import { Logger } from "@jujubeladder/logger";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import type { StorePosition } from "../model/store_position.js";
import { RunnerDirectory } from "../views/runner_directory.js";
import { createRunner } from "./create_runner.js";

const test = suite("reregistration grace");
const A = createRunner("a");
const B = createRunner("b");
const GRACE_MS = 2_000;
const MAX_VIEW_AGE_MS = 1_800;
const { performance } = globalThis;
const realNow = performance.now.bind(performance);

let nowMs = 0;

test.before(() => {
  performance.now = () => nowMs;
});

test.after(() => {
  performance.now = realNow;
});

function at(era: number, revision: number): StorePosition {
  return { era, revision };
}

function listIds(directory: RunnerDirectory): readonly string[] {
  return directory.listUsable("writer").map(({ runnerId }) => runnerId);
}

/** Lists a and b in the first era; returns the runners that left since. */
function createListed() {
  const directory = new RunnerDirectory(new Logger({}));
  const left: string[] = [];
  directory.replaceAll([A, B], at(1, 100));
  directory.events.on("leaving", ({ runnerId }) => {
    left.push(runnerId);
  });
  return { directory, left };
}

/** Lets the listeners of events run. */
async function settle(): Promise<void> {
  await new Promise(setImmediate);
}

test("a runner that a restored store lost stays in use until it registers", async () => {
  const { directory, left } = createListed();
  directory.replaceAll([B], at(2, 60));
  nowMs += GRACE_MS - 1;
  assert.equal(listIds(directory), ["a", "b"]);
  directory.put(A, at(2, 62));
  nowMs += GRACE_MS;
  assert.equal(listIds(directory), ["a", "b"]);
  await settle();
  assert.equal(left, [], "no run was evacuated");
});

test("a runner that a restored store lost is gone after 2 s without a word", async () => {
  const { directory, left } = createListed();
  directory.replaceAll([B], at(2, 60));
  nowMs += GRACE_MS - 1;
  directory.replaceAll([B], at(2, 70));
  assert.equal(listIds(directory), ["a", "b"]);
  nowMs += 1;
  assert.equal(listIds(directory), ["b"]);
  await settle();
  assert.equal(left, ["a"]);
  directory.replaceAll([A, B], at(2, 65));
  assert.equal(
    listIds(directory),
    ["b"],
    "a staler reader brings nothing back",
  );
  directory.replaceAll([A, B], at(2, 71));
  assert.equal(listIds(directory), ["b", "a"]);
});

test("a registration that expires as a later era begins keeps its runner", () => {
  const { directory } = createListed();
  directory.put(B, at(2, 61));
  directory.remove("a", at(2, 61));
  assert.equal(listIds(directory), ["a", "b"]);
  nowMs += GRACE_MS;
  assert.equal(listIds(directory), ["b"]);
});

test("a second restore gives a lost runner its 2 s anew", () => {
  const { directory } = createListed();
  directory.replaceAll([B], at(2, 60));
  nowMs += GRACE_MS - 1;
  directory.replaceAll([B], at(3, 60));
  nowMs += GRACE_MS - 1;
  assert.equal(listIds(directory), ["a", "b"]);
  nowMs += 1;
  assert.equal(listIds(directory), ["b"]);
});

test("a store that goes again before the 2 s end does not condemn a live runner", () => {
  const { directory } = createListed();
  directory.replaceAll([B], at(2, 60));
  nowMs += GRACE_MS;
  assert.equal(listIds(directory), ["b"]);
  directory.replaceAll([A, B], at(3, 62));
  assert.equal(listIds(directory), ["b", "a"]);
});

test("a view read within the 2 s does not condemn a live runner after them", () => {
  const { directory } = createListed();
  directory.replaceAll([B], at(2, 60));
  nowMs += GRACE_MS;
  assert.equal(listIds(directory), ["b"]);
  nowMs += MAX_VIEW_AGE_MS - 1;
  directory.confirm(at(2, 61));
  directory.replaceAll([B], at(2, 61));
  directory.replaceAll([A, B], at(3, 62));
  assert.equal(listIds(directory), ["b", "a"]);
});

test("a runner found missing after its 2 s does not return by a copy", () => {
  const { directory } = createListed();
  directory.replaceAll([B], at(2, 60));
  nowMs += GRACE_MS;
  assert.equal(listIds(directory), ["b"]);
  nowMs += MAX_VIEW_AGE_MS;
  directory.confirm(at(2, 60));
  directory.replaceAll([A, B], at(3, 50));
  assert.equal(listIds(directory), ["b"]);
});

test("a copy's entry of an earlier start does not keep a lost one in use", () => {
  const { directory } = createListed();
  const restarted = createRunner("a", { startedAtMs: 2 });
  directory.replaceAll([restarted, B], at(1, 110));
  directory.replaceAll([A, B], at(2, 60));
  assert.equal(listIds(directory), ["a", "b"]);
  nowMs += GRACE_MS;
  assert.equal(listIds(directory), ["b"]);
  directory.replaceAll([A, B], at(2, 61));
  assert.equal(listIds(directory), ["b"]);
  directory.put(restarted, at(2, 62));
  assert.equal(listIds(directory), ["b", "a"]);
});

test("the first list of an instance starts no grace", () => {
  const { directory } = createListed();
  directory.remove("a", at(1, 101));
  assert.equal(listIds(directory), ["b"]);
});

test("a late answer of an earlier era starts no grace", () => {
  const { directory } = createListed();
  directory.replaceAll([A, B], at(2, 60));
  nowMs += GRACE_MS;
  directory.replaceAll([A, B], at(1, 110));
  directory.remove("a", at(2, 61));
  assert.equal(listIds(directory), ["b"]);
});

test("a runner stated to be leaving gets no grace", () => {
  const { directory } = createListed();
  directory.replaceAll([{ ...A, state: "leaving" }, B], at(2, 60));
  directory.remove("a", at(2, 61));
  assert.equal(listIds(directory), ["b"]);
});

test.run();
