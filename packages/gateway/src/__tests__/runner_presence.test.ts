import { Logger } from "@jujubeladder/logger";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { RunnerDirectory } from "../views/runner_directory.js";
import { createRunner } from "./create_runner.js";

const A = createRunner("a", { startedAtMs: 1_000 });
const LEAVING_A = createRunner("a", { startedAtMs: 1_000, state: "leaving" });

function createDirectory(): RunnerDirectory {
  const directory = new RunnerDirectory(new Logger({}));
  directory.replaceAll([A], { era: 1, revision: 10 });
  return directory;
}

test("a leaving runner whose entry is removed has departed", () => {
  const directory = createDirectory();
  assert.is(directory.findPresence(A), "unknown");
  directory.put(LEAVING_A, { era: 1, revision: 11 });
  assert.is(directory.findPresence(A), "unknown");
  directory.remove("a", { era: 1, revision: 12 });
  assert.is(directory.findPresence(A), "removed");
});

test("a removed entry that never told its leaving shows no departure", () => {
  const directory = createDirectory();
  directory.remove("a", { era: 1, revision: 12 });
  assert.is(directory.findPresence(A), "unknown");
});

test("an entry that expired in an outage of the store shows no departure", () => {
  const directory = createDirectory();
  directory.put(LEAVING_A, { era: 1, revision: 11 });
  directory.startReregistrationGrace();
  directory.remove("a", { era: 1, revision: 12 });
  assert.is(directory.findPresence(A), "unknown");
});

test("a restored store that lacks an entry shows no departure", () => {
  const directory = createDirectory();
  directory.put(LEAVING_A, { era: 1, revision: 11 });
  directory.replaceAll([], { era: 2, revision: 5 });
  assert.is(directory.findPresence(A), "unknown");
});

test("an entry that is back shows no departure", () => {
  const directory = createDirectory();
  directory.put(LEAVING_A, { era: 1, revision: 11 });
  directory.remove("a", { era: 1, revision: 12 });
  directory.put(LEAVING_A, { era: 1, revision: 13 });
  assert.is(directory.findPresence(A), "unknown");
});

test("a later start under the id or at the address replaces a runner", () => {
  const byId = createDirectory();
  const next = createRunner("a", { startedAtMs: 2_000, port: 2 });
  byId.put(next, { era: 1, revision: 11 });
  assert.is(byId.findPresence(A), "replaced");
  assert.is(byId.findPresence(next), "unknown");

  const byAddress = createDirectory();
  const other = createRunner("b", { startedAtMs: 2_000, serviceId: "other" });
  byAddress.put(other, { era: 1, revision: 11 });
  assert.is(byAddress.findPresence(A), "replaced");
  assert.is(byAddress.findPresence(other), "unknown");
});

test("an older entry at its address does not replace a runner", () => {
  const directory = createDirectory();
  const older = createRunner("b", { startedAtMs: 500 });
  directory.put(older, { era: 1, revision: 11 });
  assert.is(directory.findPresence(A), "unknown");
});

test.run();
