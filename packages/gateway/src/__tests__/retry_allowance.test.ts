import { test } from "uvu";
import * as assert from "uvu/assert";
import { RetryAllowance } from "../decisions/retry_allowance.js";

const BOUND = { ratio: 0.2, fleetSlack: 50, windowMs: 10_000 };

test("all instances together stay within the fleet's bound", () => {
  const instances = 8;
  const requestsEach = 100;
  let taken = 0;
  for (let index = 0; index < instances; index += 1) {
    const allowance = new RetryAllowance(BOUND, () => instances);
    for (let n = 0; n < requestsEach; n += 1) allowance.noteRequest("s");
    while (allowance.tryTake("s")) taken += 1;
  }
  const bound = BOUND.ratio * instances * requestsEach + BOUND.fleetSlack;
  assert.ok(taken <= bound, `${taken} of ${bound}`);
  assert.ok(taken > bound * 0.8, "the bound can nearly be used");
});

test("services do not share an allowance", () => {
  const allowance = new RetryAllowance(BOUND, () => 50);
  assert.ok(allowance.tryTake("a"));
  assert.not(allowance.tryTake("a"));
  assert.ok(allowance.tryTake("b"));
});

test.run();
