import { test } from "uvu";
import * as assert from "uvu/assert";
import type { ConfigDocument } from "@jujubeladder/types";
import { OrderSchedule } from "../order_schedule.js";

const LOADS_PER_MINUTE = 60;
const INTERVAL_MS = 1_000;
const STEP_MS = 7;
const SPAN_MS = 20_000;

test("orders for two targets are spaced by the weight store's rate", () => {
  const targets = Array.from({ length: 5 }, (_, index) => ({
    runnerId: `r${index}`,
  }));
  const schedule = new OrderSchedule({
    weightStoreLoadsPerMinute: LOADS_PER_MINUTE,
    publishedAtMs: 0,
    targets,
  } as unknown as ConfigDocument);
  const openAt: { readonly atMs: number; readonly index: number }[] = [];
  for (let atMs = 0; atMs < SPAN_MS; atMs += STEP_MS) {
    for (const index of targets.keys()) {
      if (schedule.isOpen(index, atMs)) openAt.push({ atMs, index });
    }
  }
  assert.ok(openAt.length > 0);
  for (const a of openAt) {
    for (const b of openAt) {
      if (a.index === b.index) continue;
      const apartMs = Math.abs(a.atMs - b.atMs);
      assert.ok(apartMs >= INTERVAL_MS - STEP_MS, `${apartMs} ms apart`);
    }
  }
});

test.run();
