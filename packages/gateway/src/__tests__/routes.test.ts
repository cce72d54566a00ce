import { test } from "uvu";
import * as assert from "uvu/assert";
import { estimateRetryAfterMs } from "../decisions/estimate_retry_after_ms.js";
import { findRoute } from "../decisions/find_route.js";
import { canCompleteBeforeExit } from "../decisions/can_complete_before_exit.js";
import { indexRoutes } from "../decisions/index_routes.js";
import { pickService } from "../decisions/pick_service.js";
import type { Route } from "../model/route.js";

function route(routeId: string, pathPrefix: string, host = "h"): Route {
  return {
    routeId,
    host,
    pathPrefix,
    targets: [
      { serviceId: "a", weight: 90 },
      { serviceId: "b", weight: 10 },
    ],
    retryPolicy: { type: "idempotent" },
    timeoutMs: 1_000,
    targetLatencyMs: 100,
    priority: 0,
    maxAttempts: 2,
    isPublic: false,
  };
}

test("matches the longest path prefix of the host and ignores the query", () => {
  const index = indexRoutes([
    route("short", "/a/"),
    route("long", "/a/b/"),
    route("other", "/a/b/c/", "other"),
  ]);
  const find = (target: string) =>
    findRoute(index, { host: "h", target })?.routeId;
  assert.is(find("/a/b/c/d"), "long");
  assert.is(find("/a/x?y=/a/b/"), "short");
  assert.is(find("/a"), undefined);
  assert.is(find("/z?/a/"), undefined);
});

test("splits requests by weight, deterministically per request id", () => {
  const split = route("r", "/");
  const ids = Array.from({ length: 4_000 }, (_, n) => `request-${n}`);
  const share =
    ids.filter((id) => pickService(split, id) === "b").length / ids.length;
  assert.ok(share > 0.07 && share < 0.13, String(share));
  for (const id of ids.slice(0, 50)) {
    assert.is(pickService(split, id), pickService(split, id));
  }
});

test("suggests a retry when the queue is expected to have drained", () => {
  const light = estimateRetryAfterMs({
    queuedCount: 0,
    freedSlotsPerSecond: 50,
    random: 0,
  });
  const heavy = estimateRetryAfterMs({
    queuedCount: 60,
    freedSlotsPerSecond: 40,
    random: 0,
  });
  assert.is(light, 200);
  assert.ok(heavy >= 1_500 && heavy <= 1_600, String(heavy));
});

test("a stopping instance accepts only what it can complete", () => {
  const work = {
    promptTokens: 3_000,
    maxOutputTokens: 2_000,
    expectedOutputTokens: 900,
    prefixParts: [],
  };
  assert.not(canCompleteBeforeExit(work, 7_000));
  assert.ok(
    canCompleteBeforeExit({ ...work, expectedOutputTokens: 12 }, 7_000),
  );
  assert.ok(canCompleteBeforeExit(undefined, 2_000));
});

test.run();
