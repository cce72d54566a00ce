import { createSeededRandom } from "@jujubeladder/standins";
import { sleep } from "@jujubeladder/utils";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { ModelRateFleet } from "./model_rate_fleet.js";
import { VirtualTime } from "./restore_model/virtual_time.js";

const test = suite("rate limits of runners in a fleet");
const WINDOW_MS = 4_000;
const LENGTH_MS = 30_000;
/** More are given by hand, as a list. */
const SEEDS = (process.env["RATE_SEEDS"] ?? "1,2").split(",").map(Number);

interface Play {
  /** Largest share of what the limit allows that any window had. */
  readonly worstShare: number;
  readonly fleet: ModelRateFleet;
}

interface PlayOptions {
  readonly instances: number;
  readonly seed: number;
  readonly requestsPerSecond: number;
  readonly limitAt?: (nowMs: number) => number | undefined;
  readonly maxWaitMs?: number;
  readonly loss?: number;
  readonly trouble?: (fleet: ModelRateFleet) => Promise<void>;
}

async function play(options: PlayOptions): Promise<Play> {
  const time = new VirtualTime();
  time.install();
  try {
    const random = createSeededRandom(options.seed);
    const limitAt = options.limitAt ?? (() => 3.1);
    const fleet = new ModelRateFleet({
      instances: options.instances,
      random,
      loss: options.loss ?? 0,
      limitAt,
    });
    const sendAll = async () => {
      for (;;) {
        const index = Math.floor(random() * fleet.instances.length);
        const instance = fleet.instances[index];
        if (instance) void fleet.request(instance, options.maxWaitMs ?? 200);
        await sleep(
          (-Math.log(1 - random()) * 1_000) / options.requestsPerSecond,
        );
      }
    };
    void sendAll();
    void options.trouble?.(fleet);
    await time.runUntil(LENGTH_MS);
    return { worstShare: findWorstShare(fleet, limitAt), fleet };
  } finally {
    time.uninstall();
  }
}

/** Windows from 4 s after the first statement, by the highest limit in each. */
function findWorstShare(
  { arrivals }: ModelRateFleet,
  limitAt: (nowMs: number) => number | undefined,
): number {
  const times = arrivals
    .filter(({ atMs, wasTold }) => wasTold && atMs >= WINDOW_MS)
    .map(({ atMs }) => atMs);
  let first = 0;
  let worst = 0;
  for (const [last, atMs] of times.entries()) {
    while (atMs - (times[first] ?? 0) > WINDOW_MS) first += 1;
    const limits = [0, 0.25, 0.5, 0.75, 1].map((share) =>
      limitAt(atMs - share * WINDOW_MS),
    );
    if (limits.includes(undefined)) continue;
    const limit = Math.max(...limits.map((value) => value ?? 0));
    const allowed = (limit * WINDOW_MS * 1.5) / 1_000 + 5;
    worst = Math.max(worst, (last - first + 1) / allowed);
  }
  return worst;
}

function countServed({ fleet }: Play, fromMs: number, toMs: number): number {
  return fleet.arrivals.filter(({ atMs }) => atMs >= fromMs && atMs < toMs)
    .length;
}

function countAsked({ fleet }: Play, fromMs: number, toMs: number): number {
  return fleet.askedAtMs.filter((atMs) => atMs >= fromMs && atMs < toMs).length;
}

for (const instances of [9, 76, 195, 300]) {
  for (const seed of SEEDS) {
    test(`${instances} instances under load keep to a rate and use it, seed ${seed}`, async () => {
      const played = await play({ instances, seed, requestsPerSecond: 100 });
      assert.ok(played.worstShare <= 1, `${played.worstShare}`);
      const servedCount = countServed(played, 10_000, LENGTH_MS);
      assert.ok(servedCount >= 3.1 * 20 * 0.8, `${servedCount}`);
    });

    test(`${instances} instances refuse nothing that fits the rate, seed ${seed}`, async () => {
      const { worstShare, fleet } = await play({
        instances,
        seed,
        requestsPerSecond: 2,
        limitAt: () => 20,
      });
      assert.ok(worstShare <= 1, `${worstShare}`);
      assert.is(fleet.refusedCount, 0);
    });

    test(`${instances} instances keep to a rate while datagrams are lost and issuers restart, seed ${seed}`, async () => {
      const { worstShare, fleet } = await play({
        instances,
        seed,
        requestsPerSecond: 100,
        loss: 0.03,
        trouble: async (played) => {
          for (let atMs = 5_000; atMs < LENGTH_MS; atMs += 6_000) {
            await sleep(5_000);
            const { issuer } = played;
            if (!issuer) return;
            played.stop(issuer);
            await sleep(1_000);
            played.restart(issuer);
          }
        },
      });
      assert.ok(worstShare <= 1, `${worstShare}`);
      assert.ok(fleet.arrivals.length > 0);
    });

    test(`${instances} instances serve on after their issuer has left, seed ${seed}`, async () => {
      const played = await play({
        instances,
        seed,
        requestsPerSecond: 100,
        trouble: async (fleet) => {
          await sleep(8_000);
          if (fleet.issuer) fleet.stop(fleet.issuer);
        },
      });
      assert.ok(played.worstShare <= 1, `${played.worstShare}`);
      const rate = 3.1;
      // The next instance grants at half of the rate until all have dropped it.
      const meanwhile = countServed(played, 12_000, 16_000);
      assert.ok(meanwhile >= (rate * 4) / 3, `${meanwhile}`);
      const afterwards = countServed(played, 22_000, LENGTH_MS);
      assert.ok(afterwards >= rate * 8 * 0.8, `${afterwards}`);
    });

    test(`${instances} instances follow a rate that changes, seed ${seed}`, async () => {
      const played = await play({
        instances,
        seed,
        requestsPerSecond: 100,
        limitAt: (nowMs) => (nowMs < 10_000 ? 10 : nowMs < 20_000 ? 2 : 6),
      });
      assert.ok(played.worstShare <= 1, `${played.worstShare}`);
      const servedCount = countServed(played, 22_000, LENGTH_MS);
      assert.ok(servedCount >= 6 * 8 * 0.8, `${servedCount}`);
    });

    test(`${instances} instances return to full load after the end of a rate, seed ${seed}`, async () => {
      const played = await play({
        instances,
        seed,
        requestsPerSecond: 100,
        limitAt: (nowMs) => (nowMs < 12_000 ? 3.1 : undefined),
      });
      assert.ok(played.worstShare <= 1, `${played.worstShare}`);
      const servedCount = countServed(played, 16_000, 26_000);
      const askedCount = countAsked(played, 16_000, 26_000);
      assert.ok(servedCount >= askedCount * 0.98, `${servedCount}`);
      assert.ok(askedCount >= 800, `${askedCount}`);
      const firstSecond = countServed(played, 12_000, 13_000);
      assert.ok(firstSecond <= 30, `${firstSecond}`);
    });
  }
}

test.run();
