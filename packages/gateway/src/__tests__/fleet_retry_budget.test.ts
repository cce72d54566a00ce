import { sleep } from "@jujubeladder/utils";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { PeerRoster } from "../mesh/peer_roster.js";
import { FleetRetryBudget } from "../decisions/fleet_retry_budget.js";
import { formatRetryBudget } from "../decisions/format_retry_budget.js";

const FIRST_START = { isFirstStart: true };
const LIMITS = { ratio: 0.2, fleetSlack: 50, windowMs: 10_000 };

test("the instances together stay within the fleet's limit", () => {
  const instances = 8;
  const requestsEach = 100;
  let taken = 0;
  for (let index = 0; index < instances; index += 1) {
    const budget = new FleetRetryBudget(LIMITS, () => instances, FIRST_START);
    for (let n = 0; n < requestsEach; n += 1) budget.recordRequest("s");
    while (budget.book("s", "resumption")) taken += 1;
  }
  const limit = LIMITS.ratio * instances * requestsEach + LIMITS.fleetSlack;
  assert.ok(taken <= limit, `${taken} of ${limit}`);
  assert.ok(taken > limit * 0.8, "most of the limit can be used");
});

test("services do not share a budget", () => {
  const budget = new FleetRetryBudget(LIMITS, () => 50, FIRST_START);
  assert.ok(budget.book("a", "retry"));
  assert.not(budget.book("a", "retry"));
  assert.ok(budget.book("b", "retry"));
});

test("retries leave a part of the budget to resumptions", () => {
  const budget = new FleetRetryBudget(LIMITS, () => 5, FIRST_START);
  let retries = 0;
  while (budget.book("s", "retry")) retries += 1;
  let resumptions = 0;
  while (budget.book("s", "resumption")) resumptions += 1;
  assert.is(retries + resumptions, 10);
  assert.ok(resumptions >= 2, `${resumptions}`);
});

test("an attempt that is not sent returns its budget", () => {
  const budget = new FleetRetryBudget(LIMITS, () => 50, FIRST_START);
  const booking = budget.book("s", "retry");
  booking?.release();
  booking?.release();
  assert.ok(budget.book("s", "retry"));
  assert.not(budget.book("s", "retry"));
});

test("a retry that waited for capacity does not reach the next window beside that one's share", async () => {
  const limits = { ratio: 0, fleetSlack: 1, windowMs: 200 };
  const budget = new FleetRetryBudget(limits, () => 1, FIRST_START);
  const booking = budget.book("s", "retry");
  await sleep(150);
  booking?.recordSent();
  await sleep(100);
  assert.not(budget.book("s", "retry"));
  await sleep(150);
  assert.ok(budget.book("s", "retry"));
});

test("a restarted instance does not get the slack that its last life spent", async () => {
  const limits = { ratio: 0.5, fleetSlack: 4, windowMs: 150 };
  const before = new FleetRetryBudget(limits, () => 1, FIRST_START);
  let spent = 0;
  while (before.book("s", "retry")) spent += 1;
  const after = new FleetRetryBudget(limits, () => 1, { isFirstStart: false });
  after.recordRequest("s");
  after.recordRequest("s");
  while (after.book("s", "retry")) spent += 1;
  assert.ok(spent <= limits.fleetSlack + 1, `${spent}`);
  await sleep(limits.windowMs + 20);
  assert.ok(after.book("s", "retry"), "the window has passed");
});

test("an instance that has heard no peer takes no share of a fleet of unknown size", () => {
  const roster = new PeerRoster("10.0.0.1:1", ["10.0.0.2:1"]);
  const budget = new FleetRetryBudget(
    LIMITS,
    () => (roster.isSizeKnown ? roster.peakInstanceCount : undefined),
    FIRST_START,
  );
  assert.not(budget.book("s", "retry"));
  roster.recordKnownInstances(50);
  assert.ok(budget.book("s", "retry"));
  assert.not(budget.book("s", "retry"));
});

test("services that a configuration dropped do not stay in memory and metrics", () => {
  let nowMs = 0;
  const readClockMs = () => nowMs;
  const budget = new FleetRetryBudget(LIMITS, () => 10, {
    isFirstStart: true,
    readClockMs,
  });
  budget.recordRequest("dropped");
  budget.recordRequest("waiting");
  const booking = budget.book("waiting", "retry");
  nowMs += LIMITS.windowMs + 1;
  budget.recordRequest("used");
  assert.equal(budget.listServices(), ["waiting", "used"]);
  booking?.recordSent();
  assert.is(budget.getUse("waiting").spent, 1);
  nowMs += LIMITS.windowMs + 1;
  assert.equal(formatRetryBudget(budget), []);
});

test("a service's share outlasts a quiet window", () => {
  let nowMs = 0;
  const readClockMs = () => nowMs;
  const budget = new FleetRetryBudget(LIMITS, () => 50, {
    isFirstStart: true,
    readClockMs,
  });
  assert.ok(budget.book("s", "retry"));
  nowMs += LIMITS.windowMs + 1;
  assert.equal(budget.listServices(), ["s"]);
  assert.not(budget.book("s", "retry"), "the first one is still to be sent");
});

test.run();
