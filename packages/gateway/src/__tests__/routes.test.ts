import { test } from "uvu";
import * as assert from "uvu/assert";
import { estimateRetryAfter } from "../decisions/estimate_retry_after.js";
import { findRoute } from "../decisions/find_route.js";
import { fitsBeforeStop } from "../decisions/fits_before_stop.js";
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
    repeat: { type: "idempotent" },
    timeoutMs: 1_000,
    targetLatencyMs: 100,
    priority: 0,
    maxAttempts: 2,
    isPublic: false,
  };
}

test("takes the longest prefix of the host's routes, without the query", () => {
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

test("splits by weight, the same for the same request", () => {
  const split = route("r", "/");
  const ids = Array.from({ length: 4_000 }, (_, n) => `request-${n}`);
  const share =
    ids.filter((id) => pickService(split, id) === "b").length / ids.length;
  assert.ok(share > 0.07 && share < 0.13, String(share));
  for (const id of ids.slice(0, 50)) {
    assert.is(pickService(split, id), pickService(split, id));
  }
});

test("callers are asked back when those before them are through", () => {
  const light = estimateRetryAfter({
    waitingCount: 0,
    placesPerSecond: 50,
    random: 0,
  });
  const heavy = estimateRetryAfter({
    waitingCount: 60,
    placesPerSecond: 40,
    random: 0,
  });
  assert.is(light, 200);
  assert.ok(heavy >= 1_500 && heavy <= 1_600, String(heavy));
});

test("a stopping instance takes what it can still finish", () => {
  const work = {
    promptTokens: 3_000,
    maxOutputTokens: 2_000,
    expectedOutputTokens: 900,
    prefixParts: [],
  };
  assert.not(fitsBeforeStop(work, 7_000));
  assert.ok(fitsBeforeStop({ ...work, expectedOutputTokens: 12 }, 7_000));
  assert.ok(fitsBeforeStop(undefined, 2_000));
});

test.run();
