import { test } from "uvu";
import * as assert from "uvu/assert";
import { estimateRetryAfterMs } from "../decisions/estimate_retry_after_ms.js";
import { findRoute } from "../decisions/find_route.js";
import { endsBeforeExit } from "../decisions/ends_before_exit.js";
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

test("a stopping instance accepts only what ends before it exits", () => {
  const nowMs = 50_000;
  const exitAtMs = nowMs + 7_000;
  assert.not(endsBeforeExit(nowMs + 39_000, exitAtMs));
  assert.not(endsBeforeExit(nowMs + 7_000, exitAtMs));
  assert.ok(endsBeforeExit(nowMs + 6_000, exitAtMs));
  assert.ok(endsBeforeExit(nowMs + 39_000, undefined));
});

test.run();
