import { test } from "uvu";
import * as assert from "uvu/assert";
import { Logger } from "@jujubeladder/logger";
import { sleep } from "@jujubeladder/utils";
import type { MetadataStore } from "../model/metadata_store.js";
import type { StoreReader } from "../model/store_reader.js";
import { RunnerDirectory } from "../views/runner_directory.js";
import { RunnerWatchCache } from "../views/runner_watch_cache.js";
import { StoreReadHealth } from "../views/store_read_health.js";
import { syncRunners } from "../views/sync_runners.js";
import { createRunner } from "./create_runner.js";

const LOGGER = new Logger({});
/** Peers reject a view that is older than 1.8 s. */
const MAX_VIEW_AGE_MS = 1_500;

test("an instance that becomes the reader has a fresh view at once", async () => {
  const abort = new AbortController();
  const watchCache = new RunnerWatchCache();
  const store: Partial<MetadataStore> = {
    recordPeerEra: () => undefined,
    watchRunners: async ({ asOf, waitMs }) => {
      await sleep(waitMs);
      return { ok: true, value: { type: "unchanged", asOf } };
    },
  };
  const old: StoreReader = {
    instanceId: "old",
    watchConfig: async () => Promise.reject(new Error("not called")),
    watchRunners: async () =>
      Promise.resolve({
        ok: true,
        value: {
          type: "list",
          asOf: { era: 0, revision: 7 },
          ageMs: 1_700,
          runners: [],
        },
      }),
  };
  let calls = 0;
  const syncing = syncRunners({
    store: store as MetadataStore,
    directory: new RunnerDirectory(LOGGER),
    watchCache,
    readerProvider: {
      find: () => {
        calls += 1;
        return calls === 1 ? old : undefined;
      },
      recordOwnFailure: () => undefined,
      recordFailure: () => undefined,
    },
    health: new StoreReadHealth("runners", { logger: LOGGER }),
    signal: abort.signal,
  });
  for (let n = 0; n < 3; n += 1) {
    const update = await watchCache.readSince(
      { era: 0, revision: 7 },
      {
        waitMs: 400,
        shouldWait: () => true,
      },
    );
    assert.ok(
      update && update.ageMs < MAX_VIEW_AGE_MS,
      `${update?.ageMs} ms old`,
    );
  }
  abort.abort();
  await syncing;
});

test("the list is read again if a watch that had failed finds a restored store", async () => {
  const abort = new AbortController();
  const directory = new RunnerDirectory(LOGGER);
  const watchCache = new RunnerWatchCache();
  const calls: string[] = [];
  const old = createRunner("old");
  const restored = createRunner("restored");
  const lists = [
    { runners: [old], asOf: { era: 1, revision: 100 } },
    { runners: [old, restored], asOf: { era: 2, revision: 60 } },
  ];
  const store: Partial<MetadataStore> = {
    listRunners: async () => {
      calls.push("list");
      const value = lists.shift();
      if (!value) throw new Error("the list is read once an era");
      return Promise.resolve({ ok: true, value });
    },
    watchRunners: async ({ asOf }) => {
      calls.push(`watch ${asOf.era}`);
      await sleep(1);
      if (calls.length === 2) return { ok: false, error: "reset" };
      if (asOf.era === 1) return { ok: true, value: { type: "history_lost" } };
      abort.abort();
      return { ok: true, value: { type: "unchanged", asOf } };
    },
  };
  await syncRunners({
    store: store as MetadataStore,
    directory,
    watchCache,
    readerProvider: {
      find: () => undefined,
      recordOwnFailure: () => undefined,
      recordFailure: () => undefined,
    },
    health: new StoreReadHealth("runners", { logger: LOGGER }),
    signal: abort.signal,
  });
  assert.equal(calls, ["list", "watch 1", "watch 1", "list", "watch 2"]);
  assert.ok(directory.find("restored"));
  assert.equal(watchCache.asOf, { era: 2, revision: 60 });
});

test("an era that a reader tells is recorded", async () => {
  const abort = new AbortController();
  const claims: unknown[] = [];
  const store: Partial<MetadataStore> = {
    recordPeerEra: (era, peerId) => {
      claims.push([era, peerId]);
      abort.abort();
    },
  };
  const asOf = { era: 2, revision: 60 };
  const reader: StoreReader = {
    instanceId: "reader",
    watchConfig: async () => Promise.reject(new Error("not called")),
    watchRunners: async () => {
      await sleep(1);
      return { ok: true, value: { type: "list", asOf, ageMs: 0, runners: [] } };
    },
  };
  setTimeout(() => {
    abort.abort();
  }, 100);
  await syncRunners({
    store: store as MetadataStore,
    directory: new RunnerDirectory(LOGGER),
    watchCache: new RunnerWatchCache(),
    readerProvider: {
      find: () => reader,
      recordOwnFailure: () => undefined,
      recordFailure: () => undefined,
    },
    health: new StoreReadHealth("runners", { logger: LOGGER }),
    signal: abort.signal,
  });
  assert.equal(claims, [[2, "reader"]]);
});

test.run();
