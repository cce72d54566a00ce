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

const LOGGER = new Logger({});
/** Peers reject a view that is older than 1.8 s. */
const MAX_VIEW_AGE_MS = 1_500;

test("an instance that becomes the reader has a fresh view at once", async () => {
  const abort = new AbortController();
  const watchCache = new RunnerWatchCache();
  const store: Partial<MetadataStore> = {
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

test.run();
