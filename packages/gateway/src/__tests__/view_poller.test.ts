import { create } from "@bufbuild/protobuf";
import { ViewStateSchema } from "@jujubeladder/protocol";
import { sleep } from "@jujubeladder/utils";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { PeerStoreReader } from "../mesh/peer_store_reader.js";
import { ViewFollowers } from "../mesh/view_followers.js";
import { ViewPoller } from "../mesh/view_poller.js";

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

/** Watches through a peer with the given view; counts calls to it. */
function createReader(view: typeof VIEW | undefined) {
  const calls: string[] = [];
  const client = {
    watchConfig: async () => {
      calls.push("config");
      return { version: 7n, ageMs: 1 };
    },
    watchRunners: async () => {
      calls.push("runners");
      return { asOf: 90n, ageMs: 1, isList: false, entries: [] };
    },
  };
  return {
    reader: new PeerStoreReader("peer", client as never, async () => view),
    calls,
  };
}

test("no call is made while the view is unchanged", async () => {
  const { reader, calls } = createReader(VIEW);
  const config = await reader.watchConfig({ version: 7, waitMs: 10 });
  assert.equal(config, { ok: true, value: { version: 7, ageMs: 20 } });
  const runners = await reader.watchRunners({ asOf: 85, waitMs: 10 });
  assert.equal(runners, {
    ok: true,
    value: { type: "changes", changes: [], asOf: 90, ageMs: 30 },
  });
  assert.equal(calls, []);
});

for (const [what, view, asOf] of [
  ["the list has changed", VIEW, 79],
  ["the list is not known yet", VIEW, 0],
  ["the peer is behind", VIEW, 91],
  ["the peer does not answer", undefined, 85],
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
    assert.not((await reader.watchRunners({ asOf: 85, waitMs: 10 })).ok);
    assert.equal(calls, []);
  });
}

test("followers are those that asked lately, and are bounded", async () => {
  const followers = new ViewFollowers();
  for (let port = 0; port < 1_000; port += 1) {
    followers.record({ host: "10.0.0.1", port });
  }
  assert.is(followers.list().length, 512);
  assert.equal(followers.list().at(-1), { host: "10.0.0.1", port: 999 });
});

test.run();
