import { suite } from "uvu";
import * as assert from "uvu/assert";
import type { Logger } from "@jujubeladder/logger";
import { readClocks, sha256Hex, sleep } from "@jujubeladder/utils";
import type { GatewayCodec } from "../model/gateway_codec.js";
import type { StoreReader } from "../model/store_reader.js";
import { ActiveConfig } from "../views/active_config.js";
import { StoreReadHealth } from "../views/store_read_health.js";
import { syncConfig } from "../views/sync_config.js";
import { ModelStore } from "./restore_model/model_store.js";
import { VirtualTime } from "./restore_model/virtual_time.js";

let warnings: string[];
const LOGGER = {
  info: () => undefined,
  warn: (event: string) => warnings.push(event),
} as unknown as Logger;
/** The operator writes again within this time after a restore. */
const REWRITE_MS = 2_000;
/** A watch of 0.7 s confirms as of its sending, until the next one ends. */
const MAX_FRESH_AGE_MS = 1_600;
const COPY_GAP_MS = 1_000;

const CODEC = {
  decodeConfig: (text: string) => {
    const { version } = JSON.parse(text) as { readonly version: number };
    const value = {
      version,
      routes: [],
      services: [],
      authentication: { type: "none" },
    };
    return { ok: true, value };
  },
} as unknown as GatewayCodec;

const test = suite("configuration of a restored store");
let time: VirtualTime;
let store: ModelStore;
let stopping: AbortController;
let isReachable: boolean;

test.before.each(() => {
  warnings = [];
  time = new VirtualTime();
  time.install();
  store = new ModelStore(() => 0.5);
  stopping = new AbortController();
  isReachable = true;
});
test.after.each(() => {
  stopping.abort();
  time.uninstall();
});

function document(version: number, note = ""): string {
  return JSON.stringify({ version, note });
}

function write(version: number, note = ""): void {
  store.putConfig(document(version, note));
}

/** Starts an instance that reads the store, or follows a reader. */
function start(reader?: StoreReader): ActiveConfig {
  const activeConfig = new ActiveConfig(CODEC, LOGGER);
  void syncConfig({
    store: store.connect(() => isReachable),
    activeConfig,
    readerProvider: {
      find: () => reader,
      recordOwnFailure: () => undefined,
      recordFailure: () => undefined,
    },
    health: new StoreReadHealth("configuration", { logger: LOGGER }),
    signal: stopping.signal,
  });
  return activeConfig;
}

async function run(durationMs: number): Promise<void> {
  await time.runUntil(time.nowMs + durationMs);
}

/** Writes versions 1 and 2, and restores the store with the first only. */
async function loseVersion2(): Promise<void> {
  write(1);
  await run(COPY_GAP_MS);
  write(2);
  await run(COPY_GAP_MS);
  store.restore(COPY_GAP_MS * 1.5);
}

test("a fresh instance doesn't confirm what a restored store may have lost", async () => {
  await loseVersion2();
  const fresh = start();
  await run(REWRITE_MS - 100);
  assert.is(fresh.version, 1);
  assert.is(fresh.confirmedAgeMs, Infinity);
  assert.not(fresh.isSettled, "it is not ready either");
});

test("an instance that was cut off doesn't confirm an older version", async () => {
  write(1);
  await run(COPY_GAP_MS);
  const cutOff = start();
  await run(3 * REWRITE_MS);
  const { confirmedAgeMs } = cutOff;
  assert.ok(confirmedAgeMs < MAX_FRESH_AGE_MS, `${confirmedAgeMs} ms`);
  isReachable = false;
  write(2);
  await run(COPY_GAP_MS);
  store.restore(COPY_GAP_MS * 1.5);
  isReachable = true;
  const restoredAtMs = time.nowMs;
  await run(REWRITE_MS - 100);
  assert.is(cutOff.version, 1);
  const ageMs = cutOff.confirmedAgeMs;
  const sinceMs = time.nowMs - restoredAtMs;
  assert.ok(ageMs > sinceMs, `confirmed ${ageMs} ms ago, ${sinceMs} ms after`);
});

test("what the operator writes again in the new era is confirmed at once", async () => {
  await loseVersion2();
  const fresh = start();
  await run(500);
  write(2);
  await run(100);
  assert.is(fresh.version, 2);
  assert.ok(fresh.confirmedAgeMs < MAX_FRESH_AGE_MS);
  assert.ok(fresh.isSettled);
});

test("a restored version is confirmed when the operator had time to write again", async () => {
  await loseVersion2();
  const fresh = start();
  await run(REWRITE_MS + 2 * MAX_FRESH_AGE_MS);
  assert.ok(fresh.confirmedAgeMs < MAX_FRESH_AGE_MS);
});

test("a store that tells no eras is believed at once", async () => {
  write(1);
  store.tellsEra = false;
  const fresh = start();
  await run(100);
  assert.ok(fresh.confirmedAgeMs < MAX_FRESH_AGE_MS);
});

test("a fresh instance takes a peer's confirmation that came before its read", async () => {
  await loseVersion2();
  const fresh = start();
  const at = readClocks();
  fresh.confirmDocument(sha256Hex(document(1)), at);
  await run(100);
  assert.is(fresh.confirmedAgeMs, time.nowMs - at.monotonicMs);
  assert.ok(fresh.isSettled);
});

test("a confirmation of another document under the version doesn't count", async () => {
  await loseVersion2();
  const fresh = start();
  await run(100);
  fresh.confirmDocument(sha256Hex(document(1, "other")), readClocks());
  assert.is(fresh.confirmedAgeMs, Infinity);
});

test("an instance that holds a newer version doesn't confirm the store's", async () => {
  write(1);
  await run(COPY_GAP_MS);
  const newer = start();
  await run(3 * REWRITE_MS);
  write(2);
  await run(COPY_GAP_MS);
  assert.is(newer.version, 2);
  store.restore(COPY_GAP_MS * 1.5);
  await run(3 * REWRITE_MS);
  assert.is(newer.version, 2);
  assert.ok(newer.confirmedAgeMs > 3 * REWRITE_MS);
  assert.ok(warnings.includes("store_configuration_older"));
  write(2);
  await run(100);
  assert.ok(newer.confirmedAgeMs < MAX_FRESH_AGE_MS);
});

test("a store that has lost its configuration confirms none", async () => {
  await run(COPY_GAP_MS);
  write(1);
  const cutOff = start();
  await run(3 * REWRITE_MS);
  isReachable = false;
  write(2);
  await run(COPY_GAP_MS);
  store.restore(time.nowMs - COPY_GAP_MS / 2);
  isReachable = true;
  const restoredAtMs = time.nowMs;
  await run(2 * REWRITE_MS);
  assert.is(cutOff.version, 1);
  assert.ok(cutOff.confirmedAgeMs > time.nowMs - restoredAtMs);
  write(2);
  await run(100);
  assert.is(cutOff.version, 2);
  assert.ok(cutOff.confirmedAgeMs < MAX_FRESH_AGE_MS);
});

test("what the store writes later under a version replaces the earlier text", async () => {
  write(1, "first");
  const instance = start();
  await run(2 * REWRITE_MS);
  write(1, "second");
  await run(100);
  assert.is(instance.text, document(1, "second"));
  assert.ok(instance.confirmedAgeMs < MAX_FRESH_AGE_MS);
});

test("an older text under the version doesn't come back within the gap", async () => {
  write(1, "first");
  await run(COPY_GAP_MS);
  write(1, "second");
  const instance = start();
  await run(3 * REWRITE_MS);
  store.restore(3.5 * REWRITE_MS);
  await run(REWRITE_MS - 200);
  assert.is(instance.text, document(1, "second"));
  write(1, "second");
  await run(2 * REWRITE_MS);
  assert.is(instance.text, document(1, "second"));
  assert.ok(instance.confirmedAgeMs < MAX_FRESH_AGE_MS);
});

test("the text that the store keeps under the version counts after the gap", async () => {
  write(1, "first");
  await run(COPY_GAP_MS);
  write(1, "second");
  const instance = start();
  await run(3 * REWRITE_MS);
  store.restore(3.5 * REWRITE_MS);
  await run(2 * REWRITE_MS);
  assert.is(instance.text, document(1, "first"));
  assert.ok(instance.confirmedAgeMs < MAX_FRESH_AGE_MS);
});

test("a peer's text under the version counts if it was confirmed later", async () => {
  write(1, "own");
  const instance = start();
  await run(2 * REWRITE_MS);
  const early = readClocks();
  await run(REWRITE_MS);
  isReachable = false;
  const offer = (note: string, at: ReturnType<typeof readClocks>) => {
    instance.confirmDocument(sha256Hex(document(1, note)), at);
    instance.applyIfNewer(document(1, note), "peer");
  };
  offer("earlier", early);
  assert.is(instance.text, document(1, "own"));
  instance.applyIfNewer(document(1, "unconfirmed"), "peer");
  assert.is(instance.text, document(1, "own"));
  await run(MAX_FRESH_AGE_MS);
  offer("later", readClocks());
  assert.is(instance.text, document(1, "later"));
});

test("a follower reads the store if its reader has another text", async () => {
  write(1, "first");
  const hash = sha256Hex(document(1, "second"));
  const follower = start({
    instanceId: "reader",
    watchConfig: async () => {
      await sleep(350);
      return { ok: true, value: { version: 1, hash, ageMs: 0, readAgeMs: 0 } };
    },
    watchRunners: async () => Promise.reject(new Error("not called")),
  });
  await run(REWRITE_MS);
  assert.is(follower.text, document(1, "first"));
  assert.is(follower.confirmedAgeMs, Infinity);
  write(1, "second");
  await run(2 * MAX_FRESH_AGE_MS);
  assert.is(follower.text, document(1, "second"));
  assert.ok(follower.confirmedAgeMs < MAX_FRESH_AGE_MS);
});

test("a reader that tells no hash is compared by its version", async () => {
  write(1);
  const follower = start({
    instanceId: "reader",
    watchConfig: async () => {
      await sleep(350);
      return { ok: true, value: { version: 1, ageMs: 20, readAgeMs: 20 } };
    },
    watchRunners: async () => Promise.reject(new Error("not called")),
  });
  await run(REWRITE_MS / 2);
  assert.ok(follower.confirmedAgeMs < MAX_FRESH_AGE_MS);
});

test.run();
