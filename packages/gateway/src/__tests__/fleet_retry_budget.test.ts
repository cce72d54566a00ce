import { test } from "uvu";
import * as assert from "uvu/assert";
import { FleetRetryBudget } from "../decisions/fleet_retry_budget.js";

const LIMITS = { ratio: 0.2, fleetSlack: 50, windowMs: 10_000 };

test("the instances together stay within the fleet's limit", () => {
  const instances = 8;
  const requestsEach = 100;
  let taken = 0;
  for (let index = 0; index < instances; index += 1) {
    const budget = new FleetRetryBudget(LIMITS, () => instances);
    for (let n = 0; n < requestsEach; n += 1) budget.recordRequest("s");
    while (budget.tryAcquire("s")) taken += 1;
  }
  const limit = LIMITS.ratio * instances * requestsEach + LIMITS.fleetSlack;
  assert.ok(taken <= limit, `${taken} of ${limit}`);
  assert.ok(taken > limit * 0.8, "most of the limit can be used");
});

test("services do not share a budget", () => {
  const budget = new FleetRetryBudget(LIMITS, () => 50);
  assert.ok(budget.tryAcquire("a"));
  assert.not(budget.tryAcquire("a"));
  assert.ok(budget.tryAcquire("b"));
});

test.run();
