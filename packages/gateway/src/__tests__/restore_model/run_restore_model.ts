import { sleep } from "@jujubeladder/utils";
import { ModelInstance } from "./model_instance.js";
import { ModelNetwork } from "./model_network.js";
import { ModelStore } from "./model_store.js";
import { ModelWriters } from "./model_writers.js";
import { RestoreChecks } from "./restore_checks.js";
import type { RestoreViolation } from "./restore_violation.js";
import type { RestoreScenario } from "./restore_scenario.js";
import { VirtualTime } from "./virtual_time.js";

const RUNNER_COUNT = 12;
const SEED_COUNT = 3;
const PEER_PORT = 7_000;
/** All instances have agreed on readers by then. */
const START_MS = 5_000;
const SETTLE_MS = 12_000;
const TICK_MS = 50;
const CONFIG_INTERVAL_MS = 2_500;
const LEAVE_INTERVAL_MS = 1_700;
const GONE_MS = 3_000;
const WINDOW_MS = 1_000;
/** Exceeds the time for which a failed reader is not asked again. */
const READERS_AGREE_MS = 6_000;

/** Plays a scenario; the same seed gives the same run. */
export async function runRestoreModel(
  scenario: RestoreScenario,
  random: () => number,
): Promise<{
  readonly violations: ReadonlyMap<RestoreViolation, string>;
  /** The most calls that the store got within a second. */
  readonly peakCallsPerS: number;
  /** The same from `READERS_AGREE_MS` after the last restore on. */
  readonly settledCallsPerS: number;
  readonly differingTexts: number;
}> {
  const time = new VirtualTime();
  const { random: originalRandom } = Math;
  Math.random = random;
  time.install();
  try {
    const store = new ModelStore(random);
    const writers = new ModelWriters(store, random);
    const network = new ModelNetwork(random);
    const addresses = Array.from(
      { length: scenario.instances },
      (_, n) => `10.0.${n >> 8}.${n & 255}:${PEER_PORT}`,
    );
    const seeds = addresses.slice(0, SEED_COUNT);
    const startInstance = (address: string) => {
      const instance = new ModelInstance(address, { seeds, network, store });
      instance.start();
      return instance;
    };
    await writers.publish();
    for (let n = 0; n < RUNNER_COUNT; n += 1) await writers.addRunner();
    const instances = addresses.map(startInstance);
    for (const instance of instances) instance.meet(addresses);
    await time.runUntil(START_MS);
    const checks = new RestoreChecks(store, writers);
    const faultsStartedAtMs = store.callTimesMs.length;
    const lastRestore = scenario.restores.at(-1);
    const faultsEndMs = (lastRestore?.atMs ?? 0) + (lastRestore?.awayMs ?? 0);
    void runWriters(writers, START_MS + faultsEndMs);
    for (const restore of scenario.restores) {
      void runRestore(restore, store, writers);
    }
    for (const cut of scenario.cuts) {
      void (async () => {
        await sleep(cut.fromMs);
        const set = (isCut: boolean) => {
          const instance = instances[cut.instance];
          if (!instance) return;
          instance.isCutFromStore = isCut;
          if (cut.isFromPeers) instance.isCutFromPeers = isCut;
        };
        set(true);
        await sleep(cut.toMs - cut.fromMs);
        set(false);
      })();
    }
    for (const restart of scenario.restarts) {
      void (async () => {
        await sleep(restart.atMs);
        instances[restart.instance]?.stop();
        await sleep(restart.awayMs);
        const address = addresses[restart.instance];
        if (address) instances[restart.instance] = startInstance(address);
      })();
    }
    const endMs = START_MS + faultsEndMs + SETTLE_MS;
    while (time.nowMs < endMs) {
      await time.runUntil(time.nowMs + TICK_MS);
      checks.check(instances);
    }
    for (const instance of instances) instance.stop();
    const calls = store.callTimesMs.slice(faultsStartedAtMs);
    return {
      violations: checks.violations,
      peakCallsPerS: countPeak(calls),
      settledCallsPerS: countPeak(
        calls.filter(
          (atMs) => atMs > START_MS + faultsEndMs + READERS_AGREE_MS,
        ),
      ),
      differingTexts:
        new Set(instances.map(({ activeConfig }) => activeConfig.hash)).size -
        1,
    };
  } finally {
    time.uninstall();
    Math.random = originalRandom;
  }
}

async function runWriters(writers: ModelWriters, endMs: number): Promise<void> {
  const every = async (intervalMs: number, act: () => Promise<void>) => {
    while (performance.now() + intervalMs < endMs) {
      await sleep(intervalMs);
      await act();
    }
  };
  await Promise.all([
    every(CONFIG_INTERVAL_MS, async () => writers.publish()),
    every(LEAVE_INTERVAL_MS, async () => {
      await writers.addRunner();
      void writers.drainRunner(GONE_MS);
    }),
  ]);
}

async function runRestore(
  restore: RestoreScenario["restores"][number],
  store: ModelStore,
  writers: ModelWriters,
): Promise<void> {
  await sleep(restore.atMs);
  store.goAway();
  await sleep(restore.awayMs);
  store.restore(restore.copyAgeMs);
  writers.rewrite();
}

function countPeak(timesMs: readonly number[]): number {
  let peak = 0;
  let first = 0;
  timesMs.forEach((atMs, last) => {
    while ((timesMs[first] ?? 0) <= atMs - WINDOW_MS) first += 1;
    peak = Math.max(peak, last - first + 1);
  });
  return peak;
}
