import { test } from "uvu";
import * as assert from "uvu/assert";
import { chooseMoveTarget } from "../decisions/choose_move_target.js";
import { chooseRunner } from "../decisions/choose_runner.js";
import { EMPTY_LOAD } from "../decisions/empty_load.js";
import type { EngineFeatures } from "../model/engine_features.js";
import type { GenerationWork } from "../model/generation_work.js";
import { createRunner } from "./create_runner.js";

const ENGINE: EngineFeatures = {
  slots: 24,
  memoryTokens: 30_000,
  canMove: true,
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
const HERE = { availabilityZone: "r1-a", region: "r1", nowMs: 10 };

function engineContext(isUrgent = false) {
  return { ...HERE, engine: ENGINE, work: WORK, isUrgent };
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

test("goes by the memory that requests will need, not by their number", () => {
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

test("passes a runner by that has many prompts still to read", () => {
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

test("holds a request that would preempt, but not an urgent one at once", () => {
  const full = [candidate("full", { requests: 7, peakTokens: 28_000 })];
  assert.is(chooseRunner(full, engineContext()).type, "held");
  assert.is(chooseRunner(full, engineContext(true)).type, "placed");
});

test("an empty runner takes what is larger than its memory by estimate", () => {
  const work = { ...WORK, promptTokens: 40_000 };
  const choice = chooseRunner([candidate("empty", {})], {
    ...engineContext(),
    work,
  });
  assert.is(choice.type, "placed");
});

test("a near runner goes before an equal one in another region", () => {
  const choice = chooseRunner(
    [candidate("far", {}, "r2-a"), candidate("near", {})],
    { ...HERE, isUrgent: false },
  );
  assert.ok(choice.type === "placed");
  if (choice.type === "placed") assert.is(choice.runner.runnerId, "near");
});

test("a runner that fails is passed by while another can serve", () => {
  const failing = { ...candidate("failing", {}), failureShare: 0.4 };
  const choice = chooseRunner([failing, candidate("far", {}, "r2-a")], {
    ...HERE,
    isUrgent: false,
  });
  assert.ok(choice.type === "placed");
  if (choice.type === "placed") assert.is(choice.runner.runnerId, "far");
  assert.is(
    chooseRunner([failing], { ...HERE, isUrgent: false }).type,
    "placed",
    "the last runner is used even so",
  );
});

test("many instances with one late view spread over like engines", () => {
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

test("says whether runners are full or none is left", () => {
  const full = [candidate("full", { requests: 24 })];
  assert.is(chooseRunner(full, engineContext()).type, "held");
  assert.is(chooseRunner([], engineContext()).type, "no_runner");
});

test("runs that leave one runner spread over the zone's runners", () => {
  const source = createRunner("source");
  const candidates = [
    ...["a", "b", "c"].map((id) => candidate(id, { peakTokens: 9_000 })),
    candidate("full", { peakTokens: 29_000 }),
    candidate("empty-elsewhere", {}, "r2-a"),
  ];
  const targets = Array.from({ length: 60 }, (_, index) =>
    chooseMoveTarget(candidates, {
      requestId: `request-${index}`,
      needTokens: 4_000,
      source,
      sourceTokens: 30_000,
      engine: ENGINE,
      refused: new Set(),
    }),
  );
  const counts = new Map<string, number>();
  for (const target of targets) {
    const id = target?.runnerId ?? "none";
    counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  assert.equal([...counts.keys()].sort(), ["a", "b", "c"]);
  assert.ok(Math.max(...counts.values()) <= 35, "no runner takes most");
});

test("runs stay in their zone as far as there is room", () => {
  const source = createRunner("source");
  const far = candidate("far", { peakTokens: 1_000 }, "r1-b");
  const countNear = (peakTokens: number) =>
    Array.from({ length: 200 }, (_, index) =>
      chooseMoveTarget([candidate("near", { peakTokens }), far], {
        requestId: `request-${index}`,
        needTokens: 4_000,
        source,
        sourceTokens: 30_000,
        engine: ENGINE,
        refused: new Set(),
      }),
    ).filter((target) => target?.runnerId === "near").length;
  // 25,500 tokens may be used: room for half of what the source holds.
  const half = countNear(10_500);
  assert.ok(half > 70 && half < 130, `${half} of 200`);
  assert.is(countNear(24_000), 0);
});

test("runs stay in their region while it has another runner", () => {
  const move = {
    requestId: "request",
    needTokens: 4_000,
    source: createRunner("source"),
    sourceTokens: 30_000,
    engine: ENGINE,
    refused: new Set<string>(),
  };
  const elsewhere = candidate("elsewhere", {}, "r2-a");
  const full = candidate("full", { peakTokens: 29_000 });
  const fuller = candidate("fuller", { peakTokens: 30_000 }, "r1-b");
  const chosen = chooseMoveTarget([elsewhere, fuller, full], move);
  assert.is(chosen?.runnerId, "full");
  const afterRefusals = chooseMoveTarget([elsewhere, fuller, full], {
    ...move,
    refused: new Set(["full", "fuller"]),
  });
  assert.is(afterRefusals, undefined);
  const busy = candidate("busy", { requests: ENGINE.slots });
  assert.is(chooseMoveTarget([elsewhere, busy], move)?.runnerId, "elsewhere");
});

test.run();
