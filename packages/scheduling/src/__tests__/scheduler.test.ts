import { test } from "uvu";
import * as assert from "uvu/assert";
import type { Admission } from "../admission.js";
import { Scheduler } from "../scheduler.js";
import type { SchedulingRequest } from "../scheduling_request.js";

const SETTINGS = {
  maxAttempts: 3,
  retryBudgetPercent: 10,
  silenceMs: 1_000,
  resumeWindowMs: 1_000,
  queueTimeoutMs: 10_000,
  requestTimeoutMs: 1_000,
  maxTokens: 1_000,
  admissionQuantile: 0.9,
  maxTeamShare: 0.5,
};

function createRequest(changes: Partial<SchedulingRequest>): SchedulingRequest {
  return {
    requestId: "r",
    serviceId: "s",
    teamId: "t",
    teamWeight: 1,
    kindId: "long",
    isShort: false,
    promptTokens: 100,
    maxTokens: 1_000,
    prefixKey: "",
    settings: SETTINGS,
    excludedRunnerIds: new Set(),
    ...changes,
  };
}

function createScheduler(capacityTokens: number) {
  const clock = { nowMs: 0 };
  const scheduler = new Scheduler({
    region: "a",
    objective: {
      stallTime: 1,
      tailLatency: 1,
      preemptions: 1,
      crossRegionTraffic: 1,
    },
    nowMs: () => clock.nowMs,
    wallClockMs: () => clock.nowMs,
    random: () => 0.5,
  });
  scheduler.setInstances("i", ["i"]);
  scheduler.setUsableRunners([{ runnerId: "x", region: "a" }]);
  scheduler.updateLoad({
    runnerId: "x",
    incarnation: "1",
    isLeaving: false,
    runningStreams: 0,
    waitingStreams: 0,
    usedTokens: 0,
    capacityTokens,
    preemptions: 0,
    fence: 0,
    state: { model: "", version: "", adapters: [], role: "" },
  });
  const submit = (changes: Partial<SchedulingRequest>) => {
    const admissions: Admission[] = [];
    scheduler.submit(createRequest(changes), (admission) => {
      admissions.push(admission);
    });
    return admissions;
  };
  return { scheduler, submit, clock };
}

test("holds a request that does not fit until memory is released", () => {
  const { submit } = createScheduler(700);
  const [first] = submit({ requestId: "a" });
  const second = submit({ requestId: "b" });
  assert.is(first?.type, "admitted");
  assert.is(second.length, 0);
  if (first?.type === "admitted") first.lease.release();
  assert.is(second[0]?.type, "admitted");
});

test("a team with few requests is not starved by a team with many", () => {
  const { submit } = createScheduler(700);
  const [first] = submit({ requestId: "a", teamId: "large" });
  const large = [1, 2, 3].map((n) =>
    submit({ requestId: `l${n}`, teamId: "large" }),
  );
  const small = submit({ requestId: "s", teamId: "small" });
  const running: Admission[] = first ? [first] : [];
  for (let step = 0; step < 2; step += 1) {
    const current = running.pop();
    if (current?.type === "admitted") current.lease.release();
    const next = [...large, small].find((a) => a[0] && !running.includes(a[0]));
    if (next?.[0]) running.push(next[0]);
  }
  assert.is(small[0]?.type, "admitted");
  assert.is(large[2]?.length, 0);
});

test("refuses a request when its queue timeout expires", () => {
  const { scheduler, submit, clock } = createScheduler(700);
  submit({ requestId: "a" });
  const second = submit({ requestId: "b" });
  clock.nowMs = SETTINGS.queueTimeoutMs + 1;
  scheduler.dispatchQueued();
  assert.is(second[0]?.type, "refused");
});

test("a cancelled request is never placed", () => {
  const { scheduler, submit } = createScheduler(700);
  const [first] = submit({ requestId: "a" });
  const second = submit({ requestId: "b" });
  assert.is(scheduler.cancel("b"), true);
  if (first?.type === "admitted") first.lease.release();
  assert.is(second.length, 0);
});

test.run();
