import { test } from "uvu";
import * as assert from "uvu/assert";
import { chooseBackupRunner } from "../decisions/choose_backup_runner.js";
import { EMPTY_LOAD } from "../decisions/empty_load.js";
import type { EngineFeatures } from "../model/engine_features.js";
import { createRunner } from "./create_runner.js";

const ENGINE: EngineFeatures = {
  slots: 24,
  kvCacheTokens: 30_000,
  canMigrate: true,
  canBackUp: true,
  tokensPerEvent: 4,
  bytesPerToken: 1,
  linkMbps: 1,
};

function candidate(runnerId: string, zone: string, peakTokens = 0) {
  return {
    runner: createRunner(runnerId, {
      availabilityZone: zone,
      region: zone.slice(0, 2),
    }),
    load: { ...EMPTY_LOAD, peakTokens },
    failureShare: 0,
  };
}

const SOURCE = candidate("source", "r1-a");
const RUN = {
  requestId: "request",
  needTokens: 4_000,
  source: SOURCE.runner,
  engine: ENGINE,
};

test("backs a run up in its runner's zone, never on the runner itself", () => {
  const candidates = [
    candidate("other-region", "r2-a"),
    candidate("other-zone", "r1-b"),
    candidate("same-zone", "r1-a", 12_000),
    SOURCE,
  ];
  assert.is(chooseBackupRunner(candidates, RUN)?.runnerId, "same-zone");
});

test("backs a run up in another zone if its own has no room to spare", () => {
  const candidates = [
    candidate("other-region", "r2-a"),
    candidate("other-zone", "r1-b"),
    candidate("same-zone", "r1-a", 20_000),
    SOURCE,
  ];
  assert.is(chooseBackupRunner(candidates, RUN)?.runnerId, "other-zone");
});

test("does not back a run up in another region", () => {
  const candidates = [candidate("other-region", "r2-a"), SOURCE];
  assert.is(chooseBackupRunner(candidates, RUN), undefined);
});

test("leaves the memory of crowded runners to their requests", () => {
  const candidates = [
    candidate("same-zone", "r1-a", 20_000),
    candidate("other-zone", "r1-b", 18_000),
    SOURCE,
  ];
  assert.is(chooseBackupRunner(candidates, RUN), undefined);
});

test("spreads the backups of many runs over equal runners", () => {
  const candidates = Array.from({ length: 10 }, (_, n) =>
    candidate(`runner-${n}`, "r1-a"),
  );
  const chosen = new Set(
    Array.from({ length: 100 }, (_, n) =>
      chooseBackupRunner(candidates, { ...RUN, requestId: `request-${n}` }),
    ).map((runner) => runner?.runnerId),
  );
  assert.is(chosen.size, 10);
});

test.run();
