import { test } from "uvu";
import * as assert from "uvu/assert";
import { chooseMigrationTarget } from "../decisions/choose_migration_target.js";
import { chooseRunner } from "../decisions/choose_runner.js";
import { EMPTY_LOAD } from "../decisions/empty_load.js";
import type { EngineFeatures } from "../model/engine_features.js";
import type { GenerationWork } from "../model/generation_work.js";
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
const WORK: GenerationWork = {
  promptTokens: 3_000,
  maxOutputTokens: 1_000,
  expectedOutputTokens: 800,
  prefixParts: [],
};
const LOCAL = { availabilityZone: "r1-a", region: "r1", nowMs: 10 };

function engineContext(isUrgent = false) {
  return { ...LOCAL, engine: ENGINE, work: WORK, isUrgent };
}

function candidate(
  runnerId: string,
  load: Partial<typeof EMPTY_LOAD>,
  zone = "r1-a",
) {
  return {
    runner: createRunner(runnerId, {
      availabilityZone: zone,
      region: zone.slice(0, 2),
    }),
    load: { ...EMPTY_LOAD, ...load },
    failureShare: 0,
  };
}

test("scores engines by predicted KV cache, not by number of requests", () => {
  const choice = chooseRunner(
    [
      candidate("many-short", { requests: 6, peakTokens: 6_000 }),
      candidate("few-long", { requests: 3, peakTokens: 20_000 }),
    ],
    engineContext(),
  );
  assert.ok(choice.type === "placed");
  if (choice.type === "placed") {
    assert.is(choice.runner.runnerId, "many-short");
  }
});

test("avoids a runner with much queued prefill", () => {
  const choice = chooseRunner(
    [
      candidate("reading", {
        requests: 2,
        peakTokens: 8_000,
        unreadTokens: 8_000,
      }),
      candidate("writing", { requests: 2, peakTokens: 12_000 }),
    ],
    engineContext(),
  );
  assert.ok(choice.type === "placed");
  if (choice.type === "placed") assert.is(choice.runner.runnerId, "writing");
});

test("holds back a request that would cause preemption unless it is urgent", () => {
  const full = [candidate("full", { requests: 7, peakTokens: 28_000 })];
  assert.is(chooseRunner(full, engineContext()).type, "no_capacity");
  assert.is(chooseRunner(full, engineContext(true)).type, "placed");
});

test("an idle runner accepts a request estimated to exceed its KV cache", () => {
  const work = { ...WORK, promptTokens: 40_000 };
  const choice = chooseRunner([candidate("empty", {})], {
    ...engineContext(),
    work,
  });
  assert.is(choice.type, "placed");
});

test("prefers the local region among equally loaded runners", () => {
  const choice = chooseRunner(
    [candidate("far", {}, "r2-a"), candidate("near", {})],
    { ...LOCAL, isUrgent: false },
  );
  assert.ok(choice.type === "placed");
  if (choice.type === "placed") assert.is(choice.runner.runnerId, "near");
});

test("avoids a failing runner while another is available", () => {
  const failing = { ...candidate("failing", {}), failureShare: 0.4 };
  const choice = chooseRunner([failing, candidate("far", {}, "r2-a")], {
    ...LOCAL,
    isUrgent: false,
  });
  assert.ok(choice.type === "placed");
  if (choice.type === "placed") assert.is(choice.runner.runnerId, "far");
  assert.is(
    chooseRunner([failing], { ...LOCAL, isUrgent: false }).type,
    "placed",
    "a failing runner is used if it is the only one",
  );
});

test("instances with the same stale view spread over similar engines", () => {
  const candidates = [
    candidate("a", { peakTokens: 4_000 }),
    candidate("b", { peakTokens: 6_000 }),
    candidate("c", { peakTokens: 8_000 }),
    candidate("busy", { peakTokens: 24_000 }),
  ];
  const counts = new Map<string, number>();
  for (let n = 0; n < 90; n += 1) {
    const random = n / 90;
    const choice = chooseRunner(candidates, { ...engineContext(), random });
    const id = choice.type === "placed" ? choice.runner.runnerId : "none";
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  assert.equal([...counts.keys()].sort(), ["a", "b", "c"]);
  assert.is(Math.max(...counts.values()), 30);
});

test("distinguishes full runners from no runners", () => {
  const full = [candidate("full", { requests: 24 })];
  assert.is(chooseRunner(full, engineContext()).type, "no_capacity");
  assert.is(chooseRunner([], engineContext()).type, "no_runner");
});

test("runs that migrate from one runner spread over the runners of its zone", () => {
  const source = createRunner("source");
  const candidates = [
    ...["a", "b", "c"].map((id) => candidate(id, { peakTokens: 9_000 })),
    candidate("full", { peakTokens: 29_000 }),
    candidate("empty-elsewhere", {}, "r2-a"),
  ];
  const targets = Array.from({ length: 60 }, (_, index) =>
    chooseMigrationTarget(candidates, {
      requestId: `request-${index}`,
      needTokens: 4_000,
      source,
      sourceTokens: 30_000,
      engine: ENGINE,
      refusedRunnerIds: new Set(),
    }),
  );
  const counts = new Map<string, number>();
  for (const target of targets) {
    const id = target?.runnerId ?? "none";
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  assert.equal([...counts.keys()].sort(), ["a", "b", "c"]);
  assert.ok(
    Math.max(...counts.values()) <= 35,
    "no runner receives most of the runs",
  );
});

test("runs stay in their zone as far as its capacity allows", () => {
  const source = createRunner("source");
  const far = candidate("far", { peakTokens: 1_000 }, "r1-b");
  const countNear = (peakTokens: number) =>
    Array.from({ length: 200 }, (_, index) =>
      chooseMigrationTarget([candidate("near", { peakTokens }), far], {
        requestId: `request-${index}`,
        needTokens: 4_000,
        source,
        sourceTokens: 30_000,
        engine: ENGINE,
        refusedRunnerIds: new Set(),
      }),
    ).filter((target) => target?.runnerId === "near").length;
  // 25,500 tokens may be used, which leaves capacity for half of the source's.
  const half = countNear(10_500);
  assert.ok(half > 70 && half < 130, `${half} of 200`);
  assert.is(countNear(24_000), 0);
});

test("runs stay in their region if it has another runner", () => {
  const migration = {
    requestId: "request",
    needTokens: 4_000,
    source: createRunner("source"),
    sourceTokens: 30_000,
    engine: ENGINE,
    refusedRunnerIds: new Set<string>(),
  };
  const elsewhere = candidate("elsewhere", {}, "r2-a");
  const full = candidate("full", { peakTokens: 29_000 });
  const fuller = candidate("fuller", { peakTokens: 30_000 }, "r1-b");
  const chosen = chooseMigrationTarget([elsewhere, fuller, full], migration);
  assert.is(chosen?.runnerId, "full");
  const afterRefusals = chooseMigrationTarget([elsewhere, fuller, full], {
    ...migration,
    refusedRunnerIds: new Set(["full", "fuller"]),
  });
  assert.is(afterRefusals, undefined);
  const busy = candidate("busy", { requests: ENGINE.slots });
  assert.is(
    chooseMigrationTarget([elsewhere, busy], migration)?.runnerId,
    "elsewhere",
  );
});

test.run();
