import { test } from "uvu";
import * as assert from "uvu/assert";
import { RetryBudget } from "../retry_budget.js";

const INITIAL_RETRIES = 5;

test("limits retries to the configured share of first attempts", () => {
  const budget = new RetryBudget(INITIAL_RETRIES);
  let retries = 0;
  for (let attempt = 0; attempt < 1_000; attempt += 1) {
    budget.recordFirstAttempt(10);
    while (budget.tryAcquire()) retries += 1;
  }
  assert.ok(retries <= INITIAL_RETRIES + 100, `${retries} retries`);
});

test.run();
