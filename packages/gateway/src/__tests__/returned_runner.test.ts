import { Logger } from "@jujubeladder/logger";
import { Metrics } from "@jujubeladder/metrics";
import { monotonicMs, sleep } from "@jujubeladder/utils";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { FleetRetryBudget } from "../decisions/fleet_retry_budget.js";
import { LoadTracker } from "../decisions/load_tracker.js";
import { OutlierScores } from "../decisions/outlier_scores.js";
import type { CopyOutcome } from "../model/copy_outcome.js";
import type { EngineControl } from "../model/engine_control.js";
import type { RoutedService } from "../model/routed_service.js";
import { toIncarnationId } from "../model/to_incarnation_id.js";
import { PlacementScheduler } from "../relay/placement_scheduler.js";
import type { RequestContext } from "../relay/request_context.js";
import { RetryBooker } from "../relay/retry_booker.js";
import { RunMigrator } from "../relay/run_migrator.js";
import { RunnerDirectory } from "../views/runner_directory.js";
import { RunnerPauses } from "../views/runner_pauses.js";
import { createPlacementRules } from "./create_placement_rules.js";
import { createRunner } from "./create_runner.js";
import { UNLIMITED_PERMITS } from "./unlimited_permits.js";

const LOGGER = new Logger({});
const A = createRunner("a");
const B = createRunner("b");
const RETRY_LIMITS = { ratio: 0.2, fleetSlack: 50, windowMs: 10_000 };
const ABSENT_AS_OF = { era: 0, revision: 60 };
const RETURNED_AS_OF = { era: 0, revision: 62 };
const COPIED: CopyOutcome = { type: "copied", handle: "h", eventCount: 1 };
/** The time left to a source that does not tell it. */
const MOVED_MS = 1_600;
const SERVICE: RoutedService = {
  serviceId: "writer",
  maxConnections: 8,
  engine: {
    slots: 4,
    kvCacheTokens: 10_000,
    canMigrate: true,
    canBackUp: false,
    tokensPerEvent: 1,
    bytesPerToken: 1,
    linkMbps: 1_000,
  },
};

/** One run on a, which can move to b. */
function createRun(firstCopies: readonly CopyOutcome[] = []) {
  const directory = new RunnerDirectory(LOGGER);
  directory.replaceAll([A, B], { era: 0, revision: 100 });
  const scheduler = new PlacementScheduler({
    permits: UNLIMITED_PERMITS,
    directory,
    pauses: new RunnerPauses(),
    rules: createPlacementRules().rules,
    loadTracker: new LoadTracker(() => new Map()),
    outliers: new OutlierScores(),
    location: A,
    countInstances: () => 1,
  });
  const answers = [...firstCopies];
  const control: EngineControl = {
    copyRun: async () => Promise.resolve(answers.shift() ?? COPIED),
    onNotice: () => undefined,
    readReport: async () => Promise.resolve({ isLeaving: false }),
    readStart: async () => Promise.resolve({ type: "not_told" }),
    dropCopy: async () => Promise.resolve(),
  };
  const migrator = new RunMigrator({
    control,
    scheduler,
    directory,
    retries: new RetryBooker(
      new FleetRetryBudget(RETRY_LIMITS, () => 1, { isFirstStart: true }),
      LOGGER,
    ),
    metrics: new Metrics(),
    logger: LOGGER,
  });
  const context = {
    service: SERVICE,
    request: { requestId: "run" },
    findAllowedRegions: () => undefined,
  };
  const migration = migrator.track(context as unknown as RequestContext, A);
  if (!migration) throw new Error("the engine supports migration");
  return { directory, scheduler, migration };
}

test("a move that an absence began ends whole though the runner returns", async () => {
  const { directory, migration } = createRun();
  directory.remove("a", ABSENT_AS_OF);
  await sleep(50);
  directory.put(A, RETURNED_AS_OF);
  await sleep(MOVED_MS);
  const state = await migration.resolveAfterBreak(1_000);
  assert.is(state.type === "stopped" && state.runner.runnerId, "b");
  migration.finish();
});

test("a run whose move was given up moves when its runner leaves for good", async () => {
  const { directory, migration } = createRun([
    { type: "unreachable", reason: "cut" },
  ]);
  directory.remove("a", ABSENT_AS_OF);
  await sleep(50);
  directory.put(A, RETURNED_AS_OF);
  directory.markLeaving(toIncarnationId(A), "report");
  await sleep(MOVED_MS);
  const state = await migration.resolveAfterBreak(1_000);
  assert.is(state.type === "stopped" && state.runner.runnerId, "b");
  migration.finish();
});

test("a request that waits is placed on a runner that returns", async () => {
  const { directory, scheduler } = createRun();
  directory.remove("a", ABSENT_AS_OF);
  directory.remove("b", ABSENT_AS_OF);
  const waiting = scheduler.chooseOrWait(
    {
      service: SERVICE,
      teamId: "team",
      isUrgent: false,
      excludedRunnerIds: new Set(),
      findAllowedRegions: () => undefined,
    },
    {
      maxWaitMs: 5_000,
      deadlineAtMs: monotonicMs() + 10_000,
      signal: new AbortController().signal,
    },
  );
  await sleep(50);
  directory.put(A, RETURNED_AS_OF);
  const choice = await waiting;
  assert.is(choice.type === "placed" && choice.runner.runnerId, "a");
});

test.run();
