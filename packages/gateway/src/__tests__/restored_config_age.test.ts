import { suite } from "uvu";
import * as assert from "uvu/assert";
import { Logger } from "@jujubeladder/logger";
import type { GatewayCodec } from "../model/gateway_codec.js";
import { ActiveConfig } from "../views/active_config.js";
import { StoreReadHealth } from "../views/store_read_health.js";
import { syncConfig } from "../views/sync_config.js";
import { ModelStore } from "./restore_model/model_store.js";
import { VirtualTime } from "./restore_model/virtual_time.js";

const LOGGER = new Logger({});
/** Four fifths of a `revoke_ms` of 5,000: keys are refused beyond it. */
const MAX_KEY_CONFIG_AGE_MS = 4_000;
const STEP_MS = 10;
const WATCH_MS = 700;
const PHASES_MS = [0, 100, 200, 300, 400, 500, 600, 700];

const CODEC = {
  decodeConfig: (text: string) => {
    const value = {
      version: 1,
      routes: [],
      services: [],
      authentication: { type: "none" },
      text,
    };
    return { ok: true, value };
  },
} as unknown as GatewayCodec;

const test = suite("age of a configuration that a restored store holds");
const time = new VirtualTime();

test.before(() => {
  time.install();
});
test.after(() => {
  time.uninstall();
});

// Returns the greatest age of the confirmation within 8 s of the restore.
async function findMaxAge(outageMs: number, phaseMs: number): Promise<number> {
  const store = new ModelStore(() => 0.5);
  const stopping = new AbortController();
  store.putConfig("text");
  const activeConfig = new ActiveConfig(CODEC, LOGGER);
  void syncConfig({
    store: store.connect(() => true),
    activeConfig,
    readerProvider: {
      find: () => undefined,
      recordOwnFailure: () => undefined,
      recordFailure: () => undefined,
    },
    health: new StoreReadHealth("configuration", { logger: LOGGER }),
    signal: stopping.signal,
  });
  const wait = async (ms: number) => time.runUntil(time.nowMs + ms);
  await wait(10 * WATCH_MS + phaseMs);
  store.goAway();
  await wait(outageMs);
  store.restore(outageMs + WATCH_MS);
  let maxAgeMs = 0;
  for (let ms = 0; ms < 8_000; ms += STEP_MS) {
    await wait(STEP_MS);
    maxAgeMs = Math.max(maxAgeMs, activeConfig.confirmedAgeMs);
  }
  stopping.abort();
  return maxAgeMs;
}

for (const outageMs of [0, 300]) {
  test(`a restore that lost nothing, after ${outageMs} ms away, leaves keys usable`, async () => {
    const ages = [];
    for (const phaseMs of PHASES_MS)
      ages.push(Math.round(await findMaxAge(outageMs, phaseMs)));
    const text = `ages by phase: ${ages.join(", ")} ms`;
    assert.ok(Math.max(...ages) <= MAX_KEY_CONFIG_AGE_MS, text);
  });
}

test.run();
