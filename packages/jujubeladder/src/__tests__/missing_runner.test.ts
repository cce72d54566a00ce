import { InstanceListView } from "@jujubeladder/configuration";
import { LeavingRunners } from "@jujubeladder/coordination";
import { Logger } from "@jujubeladder/logger";
import type { Runner } from "@jujubeladder/types";
import { monotonicMs, sleep } from "@jujubeladder/utils";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { RunnerMonitor } from "../relay/runner_monitor.js";

/** Longer than the interval at which the monitor reads the list. */
const SYNCED_MS = 250;
const A: Runner = {
  runnerId: "a",
  serviceId: "writer",
  host: "127.0.0.1",
  port: 1,
  region: "r1",
  availabilityZone: "r1-a",
  state: "live",
};
const B: Runner = { ...A, runnerId: "b" };

test("a runner missing from one instance list is used again once listed", async () => {
  const listView = new InstanceListView();
  const leaving = new LeavingRunners();
  const monitor = new RunnerMonitor({
    listView,
    leaving,
    logger: new Logger({}),
    maxListAgeMs: 60_000,
    loadIntervalMs: 60_000,
    onLoad: () => undefined,
    onLeaving: () => undefined,
    findPrefixes: () => undefined,
  });
  const abort = new AbortController();
  const running = monitor.run(() => [], abort.signal);
  let version = 0;
  const list = async (runners: readonly Runner[]) => {
    version += 1;
    listView.replace({ version, instances: [], runners }, monotonicMs());
    await sleep(SYNCED_MS);
    return monitor.listUsable("writer").map(({ runnerId }) => runnerId);
  };
  assert.equal(await list([A, B]), ["a", "b"]);
  assert.equal(await list([B]), ["b"]);
  assert.equal(leaving.list(), [], "peers are told nothing");
  assert.equal(await list([A, B]), ["a", "b"]);
  assert.equal(await list([{ ...A, state: "leaving" }, B]), ["b"]);
  assert.equal(await list([A, B]), ["b"], "a statement is final");
  abort.abort();
  await running;
});

test.run();
