import { Logger } from "@jujubeladder/logger";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { GatewayRunner } from "../model/gateway_runner.js";
import type { StorePosition } from "../model/store_position.js";
import { toIncarnationId } from "../model/to_incarnation_id.js";
import { RunnerDirectory } from "../views/runner_directory.js";
import { createRunner } from "./create_runner.js";

const A = createRunner("a");
const B = createRunner("b");

function at(revision: number, era = 0): StorePosition {
  return { era, revision };
}

function listIds(directory: RunnerDirectory): readonly string[] {
  return directory.listUsable("writer").map(({ runnerId }) => runnerId);
}

/** Lists a and b at revision 100, then b alone at `absentAsOf`. */
function createWithAbsent(absentAsOf: StorePosition): RunnerDirectory {
  const directory = new RunnerDirectory(new Logger({}));
  directory.replaceAll([A, B], at(100, absentAsOf.era));
  directory.replaceAll([B], absentAsOf);
  assert.equal(listIds(directory), ["b"]);
  return directory;
}

test("a runner missing from one list is used again once it registers", () => {
  const directory = createWithAbsent(at(60));
  directory.put(A, at(62));
  assert.equal(listIds(directory), ["b", "a"]);
  assert.not(directory.isLeaving("a"));
});

test("a runner missing from one list is used again once a later one has it", () => {
  const directory = createWithAbsent(at(60));
  directory.replaceAll([A, B], at(61));
  assert.equal(listIds(directory), ["b", "a"]);
});

test("a runner that registers again in the batch of its removal is used", () => {
  const directory = createWithAbsent(at(110));
  directory.put(A, at(120));
  directory.remove("a", at(130));
  directory.put(A, at(130));
  assert.equal(listIds(directory), ["b", "a"]);
  directory.remove("a", at(130));
  assert.equal(listIds(directory), ["b"]);
});

test("a staler reader's word does not bring a removed runner back", () => {
  const directory = createWithAbsent(at(110));
  directory.replaceAll([A, B], at(105));
  assert.equal(listIds(directory), ["b"]);
  directory.put(A, at(107));
  assert.equal(listIds(directory), ["b"]);
  directory.replaceAll([A, B], at(110));
  assert.equal(listIds(directory), ["b"]);
});

test("a staler reader's list does not remove a runner that registered since", () => {
  const directory = createWithAbsent(at(110, 1));
  directory.put(A, at(120, 1));
  directory.replaceAll([B], at(115, 1));
  assert.equal(listIds(directory), ["b", "a"]);
  directory.remove("a", at(121, 1));
  assert.equal(listIds(directory), ["b"]);
});

test("a store restored from a copy does not bring a removed runner back", () => {
  const directory = createWithAbsent(at(110));
  directory.replaceAll([A, B], at(90, 1));
  assert.equal(listIds(directory), ["b"]);
  directory.replaceAll([A, B], at(120, 1));
  assert.equal(listIds(directory), ["b"]);
  directory.put(A, at(121, 1));
  assert.equal(listIds(directory), ["b", "a"], "it has registered since");
});

test("a runner missing from a restored store's lists registers there", () => {
  const directory = createWithAbsent(at(110));
  directory.replaceAll([B], at(90, 1));
  directory.replaceAll([A, B], at(95, 1));
  assert.equal(listIds(directory), ["b", "a"]);
});

test("an absence seen in an earlier era ends with a list of this one", () => {
  const directory = new RunnerDirectory(new Logger({}));
  directory.replaceAll([A, B], at(60, 1));
  directory.replaceAll([B], at(110, 0));
  assert.equal(listIds(directory), ["b"]);
  directory.replaceAll([A, B], at(60, 1));
  assert.equal(listIds(directory), ["b", "a"]);
});

test("late answers of an earlier era do not bring a removed runner back", () => {
  const directory = createWithAbsent(at(110));
  directory.replaceAll([A, B], at(90, 1));
  directory.put(A, at(105));
  directory.replaceAll([B], at(112));
  directory.replaceAll([A, B], at(95, 1));
  assert.equal(listIds(directory), ["b"]);
});

for (const source of ["answer", "refusal", "order", "report", "peer"] as const)
  test(`a runner that leaves by its ${source} stays so when listed again`, () => {
    const directory = createWithAbsent(at(60));
    directory.markLeaving(toIncarnationId(A), source);
    directory.put(A, at(62));
    directory.replaceAll([A, B], at(63));
    assert.equal(listIds(directory), ["b"]);
  });

test("a runner listed as draining stays so when a copy lists it as ready", () => {
  const directory = createWithAbsent(at(110));
  directory.put({ ...A, state: "leaving" }, at(112));
  directory.put(A, at(90, 1));
  directory.remove("a", at(91, 1));
  directory.put(A, at(92, 1));
  assert.equal(listIds(directory), ["b"]);
});

test("a new start under the id of a removed runner is used at once", () => {
  const directory = createWithAbsent(at(110));
  directory.replaceAll([createRunner("a", { startedAtMs: 2 }), B], at(90, 1));
  assert.equal(listIds(directory), ["b", "a"]);
  directory.put(A, at(93, 1));
  assert.is(directory.find("a")?.startedAtMs, 2);
});

test("an absence that ends is told, and the next one moves runs again", async () => {
  const directory = createWithAbsent(at(60));
  const events: string[] = [];
  const record = (name: string) => (runner: GatewayRunner) => {
    events.push(`${name} ${runner.runnerId}`);
  };
  directory.events.on("leaving", record("leaving"));
  directory.events.on("returned", record("returned"));
  directory.put(A, at(62));
  directory.put(A, at(63));
  directory.remove("a", at(64));
  await Promise.resolve();
  await Promise.resolve();
  assert.equal(events, ["returned a", "leaving a"]);
});

test.run();
