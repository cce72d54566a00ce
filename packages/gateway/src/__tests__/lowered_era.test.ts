import { suite } from "uvu";
import * as assert from "uvu/assert";
import { Logger } from "@jujubeladder/logger";
import { RunnerDirectory } from "../views/runner_directory.js";
import { createRunner } from "./create_runner.js";
import { VirtualTime } from "./restore_model/virtual_time.js";

const test = suite("lowered era");
const A = createRunner("a");
const B = createRunner("b");
/** No grace for missing runners holds any more, and no late answer comes. */
const SETTLED_MS = 5_000;

const time = new VirtualTime();
test.before(() => {
  time.install();
});
test.after(() => {
  time.uninstall();
});

test("a runner that registers again is used after an era that was an error", async () => {
  const directory = new RunnerDirectory(new Logger({}));
  const listUsable = () =>
    directory.listUsable(A.serviceId).map(({ runnerId }) => runnerId);
  directory.replaceAll([A, B], { era: 2, revision: 100 });
  directory.replaceAll([A, B], { era: 9, revision: 101 });
  await time.runUntil(time.nowMs + SETTLED_MS);
  // `StoreEraTracker` logs `store_era_lowered` here and goes on in era 2.
  directory.replaceAll([A, B], { era: 2, revision: 105 });
  directory.remove("b", { era: 2, revision: 110 });
  assert.equal(listUsable(), ["a"]);
  directory.put(B, { era: 2, revision: 111 });
  assert.equal(listUsable(), ["a", "b"]);
});

test.run();
