import { Logger } from "@jujubeladder/logger";
import { monotonicMs, sleep } from "@jujubeladder/utils";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { toIncarnationId } from "../model/to_incarnation_id.js";
import { RunnerRateLimits } from "../views/runner_rate_limits.js";
import { createRunner } from "./create_runner.js";

const RUNNER = createRunner("runner-1");
const ID = toIncarnationId(RUNNER);
const LIMITED = { type: "limited", requestsPerSecond: 3 } as const;
const UNLIMITED = { type: "unlimited" } as const;

function answerTo(sentAtMs: number) {
  return { source: "answer", sentAtMs } as const;
}

function create(): RunnerRateLimits {
  return new RunnerRateLimits(new Logger({}));
}

test("a limit holds until a later request is answered without one", async () => {
  const limits = create();
  const earlyMs = monotonicMs();
  await sleep(2);
  limits.record(RUNNER, LIMITED, answerTo(monotonicMs()));
  limits.record(RUNNER, UNLIMITED, answerTo(earlyMs));
  assert.is(limits.find(ID)?.hasEnded, false);
  await sleep(2);
  limits.record(RUNNER, UNLIMITED, answerTo(monotonicMs()));
  assert.is(limits.find(ID)?.hasEnded, true);
  assert.is(limits.size, 0);
});

test("a refusal, an order or a report without a limit does not end it", async () => {
  const limits = create();
  limits.record(RUNNER, LIMITED, answerTo(monotonicMs()));
  await sleep(2);
  const sentAtMs = monotonicMs();
  for (const source of ["refusal", "order", "report"] as const)
    limits.record(RUNNER, UNLIMITED, { source, sentAtMs });
  limits.record(RUNNER, { type: "unreadable" }, answerTo(sentAtMs));
  assert.is(limits.find(ID)?.hasEnded, false);
});

test("of several peers' statements the latest counts", () => {
  const limits = create();
  const shared = { incarnationId: ID, requestsPerSecond: 3, hasEnded: false };
  limits.mergePeer({ ...shared, ageMs: 1_000 });
  limits.mergePeer({ ...shared, ageMs: 2_000, hasEnded: true });
  assert.is(limits.find(ID)?.hasEnded, false);
  limits.mergePeer({ ...shared, ageMs: 500, hasEnded: true });
  assert.is(limits.find(ID)?.hasEnded, true);
  limits.mergePeer({ ...shared, ageMs: 100, requestsPerSecond: 5 });
  assert.is(limits.find(ID)?.requestsPerSecond, 5);
});

test("an end of a limit that was never heard of is not kept", () => {
  const limits = create();
  limits.mergePeer({
    incarnationId: ID,
    requestsPerSecond: 3,
    ageMs: 1,
    hasEnded: true,
  });
  assert.ok(limits.isEmpty);
});

test("another incarnation of the runner has no limit", () => {
  const limits = create();
  limits.record(RUNNER, LIMITED, answerTo(monotonicMs()));
  const restarted = toIncarnationId(
    createRunner("runner-1", { startedAtMs: 2 }),
  );
  assert.is(limits.find(restarted), undefined);
});

test.run();
