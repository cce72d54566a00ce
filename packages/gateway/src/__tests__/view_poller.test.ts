import { create } from "@bufbuild/protobuf";
import { ViewStateSchema } from "@jujubeladder/protocol";
import { Logger } from "@jujubeladder/logger";
import { sleep } from "@jujubeladder/utils";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { PeerStoreReader } from "../mesh/peer_store_reader.js";
import { readViewState } from "../mesh/read_view_state.js";
import { ViewFollowers } from "../mesh/view_followers.js";
import { ViewPoller } from "../mesh/view_poller.js";
import type { ActiveConfig } from "../views/active_config.js";
import { RunnerWatchCache } from "../views/runner_watch_cache.js";
import { StoreReadHealth } from "../views/store_read_health.js";

const READER = { host: "10.0.0.1", port: 7_200 };
const OTHER = { host: "10.0.0.2", port: 7_200 };
const VIEW = create(ViewStateSchema, {
  configVersion: 7n,
  configAgeMs: 20,
  runnersAsOf: 90n,
  runnersChangedAsOf: 80n,
  runnersAgeMs: 30,
});

function createPoller() {
  const queriedAtMs: number[] = [];
  const poller = new ViewPoller(async () => {
    queriedAtMs.push(performance.now());
    return VIEW;
  });
  return { poller, queriedAtMs };
}

test("those who wait share one query, and queries keep a pause", async () => {
  const { poller, queriedAtMs } = createPoller();
  for (let n = 0; n < 2; n += 1) {
    await Promise.all([poller.poll(READER), poller.poll(READER)]);
  }
  const [first = 0, second = 0] = queriedAtMs;
  assert.is(queriedAtMs.length, 2);
  assert.ok(second - first >= 300, `${second - first} ms`);
});

test("the reader's announcement ends the pause, no other peer's does", async () => {
  const { poller, queriedAtMs } = createPoller();
  await poller.poll(READER);
  const next = poller.poll(READER);
  poller.handleAnnouncement(OTHER);
  await sleep(20);
  assert.is(queriedAtMs.length, 1);
  poller.handleAnnouncement(READER);
  await next;
  const [first = 0, second = 0] = queriedAtMs;
  assert.ok(second - first < 200, `${second - first} ms`);
});

test("the reader before announces until the next one has been asked", async () => {
  const { poller, queriedAtMs } = createPoller();
  await poller.poll(READER);
  const next = poller.poll(OTHER);
  await sleep(20);
  poller.handleAnnouncement(READER);
  await next;
  const [first = 0, second = 0] = queriedAtMs;
  assert.ok(second - first < 200, `${second - first} ms`);
  const third = poller.poll(OTHER);
  poller.handleAnnouncement(READER);
  await sleep(20);
  assert.is(queriedAtMs.length, 2);
  poller.handleAnnouncement(OTHER);
  await third;
});

test("a view that was asked for before does not serve a later watch", async () => {
  const answers: (() => void)[] = [];
  const poller = new ViewPoller(
    async () =>
      new Promise((resolve) => {
        answers.push(() => {
          resolve(VIEW);
        });
      }),
  );
  const first = poller.poll(READER);
  await sleep(10);
  assert.is(answers.length, 1);
  let hasSecondEnded = false;
  const second = poller.poll(READER).then(() => {
    hasSecondEnded = true;
  });
  answers[0]?.();
  await first;
  await sleep(10);
  assert.not(hasSecondEnded);
  await sleep(400);
  answers[1]?.();
  await second;
});

/** Watches through a peer with the given view; lists calls and their waits. */
function createReader(view: typeof VIEW | undefined) {
  const calls: string[] = [];
  const waitsMs: number[] = [];
  const client = {
    watchConfig: async ({ waitMs }: { readonly waitMs: number }) => {
      calls.push("config");
      waitsMs.push(waitMs);
      return { version: 7n, ageMs: 1 };
    },
    watchRunners: async ({ waitMs }: { readonly waitMs: number }) => {
      calls.push("runners");
      waitsMs.push(waitMs);
      return { asOf: 90n, ageMs: 1, isList: false, entries: [] };
    },
  };
  return {
    reader: new PeerStoreReader(
      "peer",
      client as never,
      async () => view,
      () => undefined,
    ),
    calls,
    waitsMs,
  };
}

test("no call is made while the view is unchanged", async () => {
  const { reader, calls } = createReader(VIEW);
  const config = await reader.watchConfig({ version: 7, waitMs: 10 });
  // A peer that tells no age of its reads confirms with each.
  const value = { version: 7, ageMs: 20, readAgeMs: 20 };
  assert.equal(config, { ok: true, value });
  const runners = await reader.watchRunners({
    asOf: { era: 0, revision: 85 },
    waitMs: 10,
  });
  assert.equal(runners, {
    ok: true,
    value: {
      type: "changes",
      changes: [],
      asOf: { era: 0, revision: 90 },
      ageMs: 30,
    },
  });
  assert.equal(calls, []);
});

for (const [what, view, asOf] of [
  ["the list has changed", VIEW, { era: 0, revision: 79 }],
  ["the list is not known yet", VIEW, undefined],
  ["the peer is behind", VIEW, { era: 0, revision: 91 }],
  ["the peer does not answer", undefined, { era: 0, revision: 85 }],
] as const) {
  test(`the list is read by a call: ${what}`, async () => {
    const { reader, calls } = createReader(view);
    const runners = await reader.watchRunners({ asOf, waitMs: 10 });
    assert.ok(runners.ok);
    assert.equal(calls, ["runners"]);
  });
}

test("a configuration that the peer has not got yet is awaited by a call", async () => {
  const { reader, calls } = createReader(VIEW);
  assert.ok((await reader.watchConfig({ version: 8, waitMs: 10 })).ok);
  assert.equal(calls, ["config"]);
});

test("a call after an unanswered query does not wait for a change", async () => {
  const { reader, waitsMs } = createReader(undefined);
  await reader.watchConfig({ version: 7, waitMs: 700 });
  await reader.watchRunners({ asOf: { era: 0, revision: 85 }, waitMs: 700 });
  assert.equal(waitsMs, [1, 1]);
});

for (const ages of [
  {},
  { configAgeMs: 60_000, runnersAgeMs: 60_000 },
] as const) {
  test(`a peer without a current view is no reader: ${JSON.stringify(ages)}`, async () => {
    const stale = create(ViewStateSchema, {
      configVersion: 7n,
      runnersAsOf: 90n,
      runnersChangedAsOf: 80n,
      ...ages,
    });
    const { reader, calls } = createReader(stale);
    assert.not((await reader.watchConfig({ version: 7, waitMs: 10 })).ok);
    assert.not(
      (
        await reader.watchRunners({
          asOf: { era: 0, revision: 85 },
          waitMs: 10,
        })
      ).ok,
    );
    assert.equal(calls, []);
  });
}

test("an instance that cannot read the store tells no ages", () => {
  const logger = new Logger({});
  const configHealth = new StoreReadHealth("configuration", { logger });
  const runnersHealth = new StoreReadHealth("runners", { logger });
  const watchCache = new RunnerWatchCache();
  const readAt = { monotonicMs: performance.now(), wallMs: Date.now() };
  const read = (confirmedAgeMs: number) => {
    const activeConfig = { version: 7, confirmedAgeMs } as ActiveConfig;
    const dependencies = { activeConfig, configHealth, watchCache };
    return readViewState({ ...dependencies, runnersHealth });
  };
  assert.is(read(20).runnersAgeMs, undefined, "nothing has been read yet");
  watchCache.replaceList([], { asOf: { era: 0, revision: 90 }, readAt });
  assert.is(read(20).configAgeMs, 20);
  assert.type(read(20).runnersAgeMs, "number");
  assert.is(read(2 ** 40).configAgeMs, undefined, "beyond the wire's range");
  configHealth.recordFailure("reset");
  runnersHealth.recordFailure("reset");
  assert.is(read(20).configAgeMs, undefined);
  assert.is(read(20).runnersAgeMs, undefined);
});

test("a follower that no longer asks is not told of changes", () => {
  const { now } = performance;
  let nowMs = 0;
  performance.now = () => nowMs;
  try {
    const followers = new ViewFollowers();
    followers.record(READER);
    nowMs = 1_500;
    followers.record(OTHER);
    assert.equal(followers.list(), [READER, OTHER]);
    nowMs = 2_500;
    assert.equal(followers.list(), [OTHER]);
  } finally {
    performance.now = now;
  }
});

test("followers are bounded, and the last to ask stay", () => {
  const followers = new ViewFollowers();
  for (let port = 0; port < 1_000; port += 1) {
    followers.record({ host: "10.0.0.1", port });
  }
  assert.is(followers.list().length, 512);
  assert.equal(followers.list().at(-1), { host: "10.0.0.1", port: 999 });
});

test.run();
