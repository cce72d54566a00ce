import { monotonicMs } from "@jujubeladder/utils";
import { test } from "uvu";
import * as assert from "uvu/assert";
import type { RetryPolicy } from "../model/retry_policy.js";
import { findConfirmationMs } from "../relay/find_confirmation_ms.js";
import type { RequestContext } from "../relay/request_context.js";

const STREAM = { type: "stream", maxGapMs: 180, abandonGapMs: 7_200 } as const;
/** Time that passes between two readings of the clock. */
const TOLERANCE_MS = 50;

function find(
  retryPolicy: RetryPolicy,
  times: { readonly leftMs: number; readonly sinceEventMs?: number },
): number {
  const nowMs = monotonicMs();
  const context = {
    route: { retryPolicy },
    receivedAtMs: nowMs - 1_000,
    deadlineAtMs: nowMs + times.leftMs,
  } as RequestContext;
  const { sinceEventMs } = times;
  const lastEventAtMs =
    sinceEventMs === undefined ? undefined : nowMs - sinceEventMs;
  return findConfirmationMs(context, lastEventAtMs);
}

function isNear(actualMs: number, expectedMs: number): void {
  assert.ok(actualMs <= expectedMs, `${actualMs} ms`);
  assert.ok(actualMs > expectedMs - TOLERANCE_MS, `${actualMs} ms`);
}

test("a stream waits for a proof until its caller would leave, less its resumption", () => {
  const policy = { ...STREAM, isResumable: false };
  isNear(find(policy, { leftMs: 30_000, sinceEventMs: 200 }), 6_500);
  isNear(find(policy, { leftMs: 30_000 }), 5_700);
  isNear(find(policy, { leftMs: 900, sinceEventMs: 200 }), 880);
  assert.is(find(policy, { leftMs: 30_000, sinceEventMs: 7_000 }), 0);
});

test("a run that may be repeated waits for a second at most", () => {
  const policies: readonly RetryPolicy[] = [
    { ...STREAM, isResumable: true },
    { type: "idempotent" },
  ];
  for (const policy of policies) {
    assert.is(find(policy, { leftMs: 30_000, sinceEventMs: 200 }), 1_000);
    isNear(find(policy, { leftMs: 500, sinceEventMs: 200 }), 480);
  }
});

test.run();
