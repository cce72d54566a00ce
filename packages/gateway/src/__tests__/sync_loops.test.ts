import process from "node:process";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { Logger } from "@jujubeladder/logger";
import type { GatewayCodec } from "../model/gateway_codec.js";
import type { MetadataStore } from "../model/metadata_store.js";
import type { StoreReader } from "../model/store_reader.js";
import { ActiveConfig } from "../views/active_config.js";
import { RunnerDirectory } from "../views/runner_directory.js";
import { RunnerWatchCache } from "../views/runner_watch_cache.js";
import { StoreReadHealth } from "../views/store_read_health.js";
import { syncConfig } from "../views/sync_config.js";
import { syncRunners } from "../views/sync_runners.js";

const LOGGER = new Logger({});
const RUN_MS = 400;
/** Backoff is at least 20 ms; without it there are thousands. */
const MAX_CALLS = 22;

const test = suite("sync loops");
let rejections: unknown[];
const onRejection = (reason: unknown) => {
  rejections.push(reason);
};

test.before.each(() => {
  rejections = [];
  process.on("unhandledRejection", onRejection);
});
test.after.each(() => {
  process.off("unhandledRejection", onRejection);
});

function fail(): never {
  throw new Error("a decoder has failed");
}

/** Runs a loop for a while, with a store or a reader whose reads throw. */
async function run(
  loop: "config" | "runners",
  source: "store" | "reader" | "codec",
) {
  let calls = 0;
  const failures: string[] = [];
  const read = async () => {
    calls += 1;
    await Promise.resolve();
    return source === "codec"
      ? ({
          ok: true,
          value: { text: "odd", asOf: { era: 0, revision: 1 } },
        } as const)
      : fail();
  };
  const reader: StoreReader = {
    instanceId: "reader",
    watchConfig: read as never,
    watchRunners: read as never,
  };
  const store = {
    readConfig: read,
    watchConfig: read,
    listRunners: read,
    watchRunners: read,
  } as unknown as MetadataStore;
  const codec = { decodeConfig: fail } as unknown as GatewayCodec;
  const activeConfig = new ActiveConfig(codec, LOGGER);
  if (source === "reader") {
    // A reader is asked only by an instance that has a configuration.
    Object.defineProperty(activeConfig, "version", { value: 1 });
  }
  const abort = new AbortController();
  const health = new StoreReadHealth(loop, { logger: LOGGER });
  const dependencies = {
    store,
    health,
    readerProvider: {
      find: () => (source === "reader" ? reader : undefined),
      recordOwnFailure: () => failures.push("own"),
      recordFailure: () => failures.push("reader"),
    },
    signal: abort.signal,
  };
  setTimeout(() => {
    abort.abort();
  }, RUN_MS);
  const ended =
    loop === "config"
      ? syncConfig({ ...dependencies, activeConfig })
      : syncRunners({
          ...dependencies,
          directory: new RunnerDirectory(LOGGER),
          watchCache: new RunnerWatchCache(),
        });
  const startedAtMs = performance.now();
  await ended.catch(onRejection);
  return { calls, failures, health, ranMs: performance.now() - startedAtMs };
}

for (const [loop, source] of [
  ["config", "store"],
  ["config", "codec"],
  ["config", "reader"],
  ["runners", "store"],
  ["runners", "reader"],
] as const) {
  test(`an exception is a failed read and ends no loop (${loop}, ${source})`, async () => {
    const { calls, failures, health, ranMs } = await run(loop, source);
    assert.equal(rejections, []);
    assert.ok(ranMs > RUN_MS - 50, `ended after ${ranMs} ms`);
    assert.ok(calls > 2 && calls < MAX_CALLS, `${calls} calls`);
    assert.ok(failures.length > 1);
    if (source === "store") assert.not(health.isHealthy);
  });
}

test.run();
