import { test } from "uvu";
import * as assert from "uvu/assert";
import { LoadTracker } from "../decisions/load_tracker.js";
import { OutlierScores } from "../decisions/outlier_scores.js";
import type { AllowedRegions } from "../model/allowed_regions.js";
import type { RoutedService } from "../model/routed_service.js";
import { PlacementScheduler } from "../relay/placement_scheduler.js";
import { RunnerDirectory } from "../views/runner_directory.js";
import { RunnerPauses } from "../views/runner_pauses.js";
import { Logger } from "@jujubeladder/logger";
import { createPlacementRules } from "./create_placement_rules.js";
import { createRunner } from "./create_runner.js";
import { UNLIMITED_PERMITS } from "./unlimited_permits.js";

const SERVICE: RoutedService = {
  serviceId: "writer",
  maxConnections: 8,
  coldStart: { durationMs: 1_000, requestsPerSecond: 2 },
};
const NEAR = createRunner("near");
const FAR = createRunner("far", { region: "r2", availabilityZone: "r2-a" });
const FIRST = { isResumption: false };
const RESUMED = { isResumption: true };

function createScheduler(
  options: Parameters<typeof createPlacementRules>[0] = {},
) {
  const directory = new RunnerDirectory(new Logger({}));
  directory.replaceAll([NEAR, FAR], { era: 1, revision: 1 });
  const created = createPlacementRules(options);
  const scheduler = new PlacementScheduler({
    permits: UNLIMITED_PERMITS,
    directory,
    pauses: new RunnerPauses(),
    rules: created.rules,
    loadTracker: new LoadTracker(() => new Map()),
    outliers: new OutlierScores(),
    location: NEAR,
    countInstances: () => 1,
  });
  let allowedRegions: AllowedRegions;
  const requirements = {
    service: SERVICE,
    teamId: "",
    isUrgent: false,
    excludedRunnerIds: new Set<string>(),
    findAllowedRegions: () => allowedRegions,
  };
  return {
    ...created,
    scheduler,
    requirements,
    allow: (...regions: string[]) => {
      allowedRegions = new Set(regions);
    },
    choose: () => {
      const choice = scheduler.chooseNow(requirements);
      return choice.type === "placed" ? choice.runner.runnerId : choice.type;
    },
  };
}

const evacuate = (zones: readonly string[], revision: number) =>
  ({ type: "list", zones, asOf: { era: 1, revision } }) as const;

test("a request goes to no runner outside its regions, however near", () => {
  const { choose, allow } = createScheduler();
  assert.is(choose(), "near");
  allow("r2");
  assert.is(choose(), "far");
});

test("a request that no region may serve is refused without a wait", async () => {
  const { scheduler, requirements, allow } = createScheduler();
  allow("r3");
  const choice = await scheduler.chooseOrWait(requirements, {
    maxWaitMs: 60_000,
    deadlineAtMs: Number.POSITIVE_INFINITY,
    signal: new AbortController().signal,
  });
  assert.is(choice.type, "not_allowed");
});

test("an evacuated zone gets nothing, and all zones refuse at once", () => {
  const { choose, evacuatedZones } = createScheduler();
  evacuatedZones.apply(evacuate(["r1-a"], 2));
  assert.is(choose(), "far");
  evacuatedZones.apply(evacuate(["r1-a", "r2-a"], 3));
  assert.is(choose(), "not_allowed");
  evacuatedZones.apply(evacuate([], 4));
  assert.is(choose(), "near");
});

test("a request that waits is settled when its last zone is evacuated", async () => {
  const { scheduler, requirements, evacuatedZones, allow } = createScheduler();
  allow("r1");
  const excluded = { ...requirements, excludedRunnerIds: new Set(["near"]) };
  const waiting = scheduler.chooseOrWait(excluded, {
    maxWaitMs: 60_000,
    deadlineAtMs: Number.POSITIVE_INFINITY,
    signal: new AbortController().signal,
  });
  evacuatedZones.apply(evacuate(["r1-a"], 2));
  assert.is((await waiting).type, "not_allowed");
});

test("what changes after the choice is seen before the request is written", () => {
  const { rules, evacuatedZones } = createScheduler();
  const request = { service: SERVICE, allowedRegions: new Set(["r2"]) };
  assert.type(rules.findObjection(NEAR, request, FIRST), "string");
  const anywhere = { service: SERVICE, allowedRegions: undefined };
  assert.is(rules.findObjection(NEAR, anywhere, FIRST), undefined);
  evacuatedZones.apply(evacuate(["r1-a"], 2));
  assert.type(rules.findObjection(NEAR, anywhere, FIRST), "string");
});

test("a run that has stopped still resumes where a zone is just evacuated", () => {
  const { rules, evacuatedZones } = createScheduler();
  const request = { service: SERVICE, allowedRegions: undefined };
  evacuatedZones.apply(evacuate(["r1-a"], 2));
  assert.is(rules.findObjection(NEAR, request, RESUMED), undefined);
  const barred = { service: SERVICE, allowedRegions: new Set(["r2"]) };
  assert.type(rules.findObjection(NEAR, barred, RESUMED), "string");
});

test("a cold runner gets a request a turn, and the others go elsewhere", () => {
  const { rules, coldRunners, choose } = createScheduler({
    coldLimit: { excess: 1.5, slack: 5 },
    random: () => 0,
  });
  const request = { service: SERVICE, allowedRegions: undefined };
  coldRunners.recordStatement(NEAR, 10_000);
  assert.is(choose(), "near");
  assert.is(rules.findObjection(NEAR, request, FIRST), undefined);
  assert.is(choose(), "far");
  assert.type(rules.findObjection(NEAR, request, FIRST), "string");
});

test("runners of a zone that is taken back count as cold", () => {
  const { rules, coldRunners } = createScheduler({
    coldLimit: { excess: 1, slack: 0 },
    countInstances: () => undefined,
  });
  assert.ok(rules.hasTurn(NEAR, SERVICE));
  coldRunners.recordZoneReturn("r1-a");
  assert.not(rules.hasTurn(NEAR, SERVICE));
  const { coldStart, ...unlimited } = SERVICE;
  assert.ok(coldStart && rules.hasTurn(NEAR, unlimited));
});

test("requests of a plain service do not wait behind those of a full engine", async () => {
  const { scheduler, requirements } = createScheduler();
  const options = {
    maxWaitMs: 60_000,
    deadlineAtMs: Number.POSITIVE_INFINITY,
    signal: new AbortController().signal,
  };
  const other = { serviceId: "other", maxConnections: 8 };
  void scheduler.chooseOrWait({ ...requirements, service: other }, options);
  await Promise.resolve();
  assert.is(scheduler.queuedCount, 1);
  const choice = await scheduler.chooseOrWait(requirements, options);
  assert.is(choice.type, "placed");
  scheduler.dismissQueued(() => true);
  scheduler.dispatchQueued();
});

for (const instances of [9, 78, 139, 300]) {
  test(`${instances} instances that see one empty engine do not fill it twice`, () => {
    const { scheduler } = createScheduler();
    const engine = {
      slots: 24,
      kvCacheTokens: 27_000,
      bytesPerToken: 1,
      linkMbps: 1,
      canMigrate: true,
      canBackUp: false,
      tokensPerEvent: 1,
    };
    const service = { serviceId: "writer", maxConnections: 8, engine };
    const question = {
      runnerId: "near",
      promptTokens: 3_000,
      needTokens: 3_700,
      isUrgent: false,
      firstTokenLimitMs: 750,
    };
    const granted = Array.from({ length: instances }, () =>
      scheduler.grant(NEAR, service, question),
    ).filter(Boolean).length;
    // Three prompts of 3,000 tokens are read in the limit.
    assert.is(granted, 3);
  });
}

test.run();
