import { createSeededRandom, findClosestWindow } from "@jujubeladder/standins";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { drawRetryDay } from "./draw_retry_day.js";
import { MODEL_LIMITS } from "./model_limits.js";
import type { RetryDay } from "./retry_day.js";
import type { RetryDesign } from "./retry_design.js";
import { RetryFleetModel } from "./retry_fleet_model.js";

/** With `RETRY_SEEDS`, more days are played and all designs are compared. */
const { RETRY_SEEDS } = process.env;
const SEED_COUNT = Number(RETRY_SEEDS ?? 6);
const OTHER_DESIGNS: readonly RetryDesign[] = [
  "reserve",
  "resumptions always",
  "no reserve",
];
const FLEET_SIZES = [9, 77, 195] as const;
/** What uneven shares, restarts and growth cost at most. */
const MAX_LOST_SHARE = 0.1;

/** Most engines give notice one after another while the others fail. */
const EXODUS = {
  sizeLagMs: 3_000,
  failures: [{ fromMs: 12_000, toMs: 60_000, ratio: 0.6 }],
  notices: [30_000, 33_000, 36_000].map((atMs) => ({ atMs, share: 0.6 })),
  restarts: [],
  sizes: [],
};
const EXODUS_LOAD = 3;

interface Figures {
  closestShare: number;
  daysOver: number;
  resumed: number;
  lost: number;
  lostWithFleetLeft: number;
  refusedRetries: number;
}

function play(
  days: readonly { readonly day: RetryDay; readonly seed: number }[],
  design: RetryDesign,
): Figures {
  const figures: Figures = {
    closestShare: 0,
    daysOver: 0,
    resumed: 0,
    lost: 0,
    lostWithFleetLeft: 0,
    refusedRetries: 0,
  };
  for (const { day, seed } of days) {
    const model = new RetryFleetModel(day, design, seed);
    model.run();
    const { fleetSlack } = day;
    const { share } = findClosestWindow(model, { ...MODEL_LIMITS, fleetSlack });
    figures.closestShare = Math.max(figures.closestShare, share);
    if (share > 1) figures.daysOver += 1;
    figures.resumed += model.resumed;
    figures.lost += model.lost;
    figures.lostWithFleetLeft += model.lostWithFleetLeft;
    figures.refusedRetries += model.refusedRetries;
  }
  return figures;
}

function print(name: string, design: RetryDesign, figures: Figures): void {
  if (RETRY_SEEDS !== undefined)
    process.stdout.write(`${name} ${design} ${JSON.stringify(figures)}\n`);
}

for (const size of FLEET_SIZES) {
  const seeds = Array.from({ length: SEED_COUNT }, (_, n) => n + 1);
  const days = seeds.map((seed) => ({
    day: drawRetryDay(size, createSeededRandom(seed)),
    seed,
  }));
  test(`${size} instances stay within the retry limit and lose few resumptions`, () => {
    const figures = play(days, "reserve, early");
    print(`days ${size}`, "reserve, early", figures);
    assert.is(figures.daysOver, 0, `${figures.closestShare}`);
    assert.ok(figures.resumed > 0);
    assert.ok(figures.lost <= figures.resumed * MAX_LOST_SHARE);
    if (RETRY_SEEDS === undefined) return;
    for (const design of OTHER_DESIGNS)
      print(`days ${size}`, design, play(days, design));
  });

  test(`${size} instances stay within the retry limit while most engines leave`, () => {
    const drawn = drawRetryDay(size, createSeededRandom(1));
    const requestsPerSecond = drawn.requestsPerSecond * EXODUS_LOAD;
    const day = { ...drawn, ...EXODUS, requestsPerSecond };
    const exodus = seeds.map((seed) => ({ day, seed }));
    const figures = play(exodus, "reserve, early");
    print(`exodus ${size}`, "reserve, early", figures);
    assert.is(figures.daysOver, 0, `${figures.closestShare}`);
    if (RETRY_SEEDS === undefined) return;
    for (const design of OTHER_DESIGNS)
      print(`exodus ${size}`, design, play(exodus, design));
  });
}

test.run();
