import { test } from "uvu";
import * as assert from "uvu/assert";
import { FailureBlame } from "../decisions/failure_blame.js";

test("blames a runner whose failure another runner did not repeat", () => {
  const failures = new FailureBlame();
  failures.recordFailure("a");
  assert.equal(failures.listBlamed(true), ["a"]);
});

test("blames a runner that failed if nothing else was tried", () => {
  const failures = new FailureBlame();
  failures.recordFailure("a");
  assert.equal(failures.listBlamed(false), ["a"]);
});

test("blames no runner for a request that fails everywhere", () => {
  const failures = new FailureBlame();
  failures.recordFailure("a");
  failures.recordFailure("b");
  assert.equal(failures.listBlamed(false), []);
});

test("blames both failed runners if a third succeeds", () => {
  const failures = new FailureBlame();
  failures.recordFailure("a");
  failures.recordFailure("b");
  assert.equal(failures.listBlamed(true), ["a", "b"]);
});

test.run();
