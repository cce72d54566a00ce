import fc from "fast-check";
import { Logger } from "@jujubeladder/logger";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { LoadTracker } from "../decisions/load_tracker.js";
import { toIncarnationId } from "../model/to_incarnation_id.js";
import type { RunnerLoad } from "../model/runner_load.js";
import { RunnerDirectory } from "../views/runner_directory.js";
import { createRunner } from "./create_runner.js";

const test = suite("placement caches");
const REPORT_TTL_MS = 4_000;
const RUNNER_IDS = ["a", "b", "c", "d"];
const SERVICE_IDS = ["writer", "reader"];
const { performance } = globalThis;
const realNow = performance.now.bind(performance);

let nowMs = 0;

test.before(() => {
  performance.now = () => nowMs;
});

test.after(() => {
  performance.now = realNow;
});

const runnerIds = fc.constantFrom(...RUNNER_IDS);
const counts = fc.nat({ max: 5_000 });
const reports = fc.record({
  peer: fc.constantFrom("p1", "p2", "p3", "p4", "p5"),
  region: fc.constantFrom("r1", "r2"),
  loads: fc.dictionary(
    runnerIds,
    fc.record({ requests: counts, peakTokens: counts, unreadTokens: counts }),
  ),
  /** Longer than factors are kept, up to the expiry of a report. */
  waitMs: fc.integer({ min: 50, max: 1_700 }),
});

type Step = typeof reports extends fc.Arbitrary<infer Value> ? Value : never;

interface Report {
  readonly region: string;
  readonly loads: Readonly<Record<string, RunnerLoad>>;
  readonly atMs: number;
}

test("the tracked load equals the sum over all unexpired reports", () => {
  const peerCounts = new Map([
    ["r1", 4],
    ["r2", 1],
  ]);
  const run = (steps: readonly Step[]) => {
    const tracker = new LoadTracker(() => peerCounts);
    const latest = new Map<string, Report>();
    for (const { peer, region, loads, waitMs } of steps) {
      tracker.recordPeer(peer, {
        region,
        byRunner: new Map(Object.entries(loads)),
      });
      latest.set(peer, { region, loads, atMs: nowMs });
      checkLoads(tracker, latest, peerCounts);
      nowMs += waitMs;
      checkLoads(tracker, latest, peerCounts);
    }
  };
  fc.assert(fc.property(fc.array(reports, { maxLength: 30 }), run));
});

function checkLoads(
  tracker: LoadTracker,
  latest: ReadonlyMap<string, Report>,
  peerCounts: ReadonlyMap<string, number>,
): void {
  const valid = [...latest.values()].filter(
    ({ atMs }) => atMs >= nowMs - REPORT_TTL_MS,
  );
  const sum = (runnerId: string, field: keyof RunnerLoad) =>
    valid.reduce((total, { region, loads }) => {
      const reporting = valid.filter((other) => other.region === region);
      const peers = peerCounts.get(region) ?? 0;
      const factor = Math.max(1, peers / reporting.length);
      return total + (loads[runnerId]?.[field] ?? 0) * factor;
    }, 0);
  for (const runnerId of RUNNER_IDS) {
    const load = tracker.getLoad(runnerId);
    for (const field of ["requests", "peakTokens", "unreadTokens"] as const) {
      const expected = sum(runnerId, field);
      const text = `${runnerId} ${field}: ${load[field]}, not ${expected}`;
      assert.ok(Math.abs(load[field] - expected) < 1e-6, text);
    }
  }
}

const runners = fc
  .record({
    runnerId: runnerIds,
    serviceId: fc.constantFrom(...SERVICE_IDS),
    startedAtMs: fc.integer({ min: 1, max: 3 }),
    state: fc.constantFrom("live" as const, "leaving" as const),
  })
  .map(({ runnerId, ...changes }) => createRunner(runnerId, changes));
const asOf = fc.record({
  era: fc.nat({ max: 2 }),
  revision: fc.nat({ max: 20 }),
});
const changes = fc.oneof(
  fc.record({ type: fc.constant("put" as const), runner: runners, asOf }),
  fc.record({ type: fc.constant("mark" as const), runner: runners }),
  fc.record({
    type: fc.constant("remove" as const),
    runnerId: runnerIds,
    asOf,
  }),
  fc.record({
    type: fc.constant("replace" as const),
    runners: fc.array(runners, { maxLength: 4 }),
    asOf,
  }),
  fc.record({ type: fc.constant("confirm" as const), asOf }),
  fc.record({ type: fc.constant("grace" as const) }),
  fc.record({
    type: fc.constant("wait" as const),
    ms: fc.constantFrom(10, 1_999, 2_001, 61_000),
  }),
);

type Change = typeof changes extends fc.Arbitrary<infer Value> ? Value : never;

function apply(directory: RunnerDirectory, change: Change): void {
  switch (change.type) {
    case "put":
      directory.put(change.runner, change.asOf);
      return;
    case "mark":
      directory.markLeaving(toIncarnationId(change.runner), "peer");
      return;
    case "remove":
      directory.remove(change.runnerId, change.asOf);
      return;
    case "replace":
      directory.replaceAll(change.runners, change.asOf);
      return;
    case "confirm":
      directory.confirm(change.asOf);
      return;
    case "grace":
      directory.startReregistrationGrace();
      return;
    case "wait":
      nowMs += change.ms;
  }
}

test("the usable runners listed are those known and not leaving", () => {
  const run = (steps: readonly Change[]) => {
    const directory = new RunnerDirectory(new Logger({}));
    for (const step of steps) {
      apply(directory, step);
      for (const serviceId of SERVICE_IDS) {
        const listed = directory.listUsable(serviceId);
        const usable = RUNNER_IDS.flatMap((runnerId) => {
          const runner = directory.find(runnerId);
          const isUsable =
            runner?.serviceId === serviceId && !directory.isLeaving(runnerId);
          return isUsable ? [runner] : [];
        });
        const ids = listed.map(({ runnerId }) => runnerId).sort();
        assert.equal(
          ids,
          usable.map(({ runnerId }) => runnerId),
        );
        for (const runner of usable) assert.ok(listed.includes(runner));
      }
    }
  };
  const steps = fc.array(changes, { maxLength: 40 });
  fc.assert(fc.property(steps, run), { numRuns: 300 });
});

test.run();
