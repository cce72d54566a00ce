import { test } from "uvu";
import * as assert from "uvu/assert";
import { estimateRetryAfterMs } from "../decisions/estimate_retry_after_ms.js";

test("a caller that waits for a permit is never told to return at once", () => {
  for (const permitInMs of [undefined, 0, 1, 150]) {
    const retryAfterMs = estimateRetryAfterMs({
      queuedCount: 0,
      freedSlotsPerSecond: 1_000,
      permitInMs,
      random: 0,
    });
    assert.ok(retryAfterMs >= 200, `${retryAfterMs}`);
  }
});

test("a caller is told to return once a runner opens, however late", () => {
  const retryAfterMs = estimateRetryAfterMs({
    queuedCount: 0,
    freedSlotsPerSecond: 1,
    permitInMs: 9_000,
    random: 0,
  });
  assert.is(retryAfterMs, 9_000);
});

test.run();
