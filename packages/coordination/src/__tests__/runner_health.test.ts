import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Runner } from "@jujubeladder/types";
import { RunnerHealth } from "../runner_health.js";

const FAILURES = 3;

function createRunner(runnerId: string, availabilityZone: string): Runner {
  return {
    runnerId,
    availabilityZone,
    serviceId: "s",
    host: "127.0.0.1",
    port: 1,
    region: "r",
    state: "live",
  };
}

const RUNNERS = [
  createRunner("a1", "a"),
  createRunner("a2", "a"),
  createRunner("b1", "b"),
  createRunner("b2", "b"),
];

function fail(health: RunnerHealth, runnerId: string): void {
  for (let count = 0; count < FAILURES; count += 1) {
    health.recordFailure(runnerId);
  }
}

test("ejects a failing runner until it succeeds", () => {
  const health = new RunnerHealth();
  fail(health, "a1");
  const usable = health.filterUsable(RUNNERS).map((r) => r.runnerId);
  assert.equal(usable, ["a2", "b1", "b2"]);
  health.recordSuccess("a1");
  assert.is(health.filterUsable(RUNNERS).length, RUNNERS.length);
});

test("ejects all runners of one failed zone", () => {
  const health = new RunnerHealth();
  for (const runnerId of ["a1", "a2"]) fail(health, runnerId);
  const usable = health.filterUsable(RUNNERS).map((r) => r.runnerId);
  assert.equal(usable, ["b1", "b2"]);
});

test("ejects none if more than half fail", () => {
  const health = new RunnerHealth();
  for (const runnerId of ["a1", "a2", "b1"]) fail(health, runnerId);
  assert.is(health.filterUsable(RUNNERS).length, RUNNERS.length);
});

test.run();
