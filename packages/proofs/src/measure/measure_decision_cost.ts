import { createSeededRandom } from "@jujubeladder/standins";
import { monotonicMs } from "@jujubeladder/utils";
import { Scheduler, type SchedulingRequest } from "@jujubeladder/scheduling";

const RUNNER_COUNTS = [16, 200, 1_000];
const DECISIONS = 3_000;
const STREAMS_PER_RUNNER = 4;
const US_PER_MS = 1_000;

const REQUEST: SchedulingRequest = {
  requestId: "r",
  serviceId: "s",
  teamId: "t",
  teamWeight: 1,
  kindId: "k",
  isShort: false,
  promptTokens: 300,
  maxTokens: 4_000,
  prefixKey: "",
  settings: {
    maxAttempts: 3,
    retryBudgetPercent: 10,
    silenceMs: 2_000,
    resumeWindowMs: 20_000,
    queueTimeoutMs: 30_000,
    requestTimeoutMs: 30_000,
    maxTokens: 8_000,
    admissionQuantile: 0.99,
    maxTeamShare: 0.4,
  },
  excludedRunnerIds: new Set(),
};

/** Measures time per decision and heap per runner, by number of runners. */
export function measureDecisionCost(print: (line: string) => void): void {
  for (const runnerCount of RUNNER_COUNTS) {
    globalThis.gc?.();
    const heapBefore = process.memoryUsage().heapUsed;
    const { scheduler, clock } = createScheduler(runnerCount);
    globalThis.gc?.();
    const heapBytes = process.memoryUsage().heapUsed - heapBefore;
    const startedAtMs = monotonicMs();
    for (let count = 0; count < DECISIONS; count += 1) {
      clock.nowMs += 5;
      scheduler.decide(REQUEST);
    }
    const elapsedMs = monotonicMs() - startedAtMs;
    const microseconds = (elapsedMs * US_PER_MS) / DECISIONS;
    print(
      `decision runners=${runnerCount} cost_us=${microseconds.toFixed(1)} ` +
        `heap_bytes_per_runner=${Math.round(heapBytes / runnerCount)}`,
    );
  }
}

function createScheduler(runnerCount: number): {
  readonly scheduler: Scheduler;
  readonly clock: { nowMs: number };
} {
  const clock = { nowMs: 0 };
  const scheduler = new Scheduler({
    region: "region-1",
    objective: {
      stallTime: 1,
      tailLatency: 1,
      preemptions: 1,
      crossRegionTraffic: 0.2,
    },
    nowMs: () => clock.nowMs,
    wallClockMs: () => clock.nowMs,
    random: createSeededRandom(1),
  });
  const runners = Array.from({ length: runnerCount }, (_, index) => ({
    runnerId: `runner-${index}`,
    region: `region-${index % 3}`,
  }));
  scheduler.setInstances("i0", ["i0", "i1", "i2"]);
  scheduler.setUsableRunners(runners);
  for (const { runnerId } of runners) {
    scheduler.updateLoad({
      runnerId,
      incarnation: "1",
      isLeaving: false,
      runningStreams: 10,
      waitingStreams: 0,
      usedTokens: 5_000,
      capacityTokens: 40_000,
      preemptions: 0,
      fence: 0,
      state: { model: "", version: "", adapters: [], role: "" },
    });
  }
  const streams = runnerCount * STREAMS_PER_RUNNER;
  for (let index = 0; index < streams; index += 1) {
    clock.nowMs += 1;
    scheduler.submit({ ...REQUEST, requestId: `${index}` }, () => undefined);
  }
  return { scheduler, clock };
}
