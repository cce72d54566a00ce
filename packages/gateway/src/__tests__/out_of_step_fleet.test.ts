import { createSeededRandom } from "@jujubeladder/standins";
import { sleep } from "@jujubeladder/utils";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createRunner } from "./create_runner.js";
import { VirtualTime } from "./restore_model/virtual_time.js";
import { VersionFleet } from "./version_fleet_model.js";

const test = suite("streams of several versions in a fleet");
const SEEDS = (process.env["VERSION_SEEDS"] ?? "1,2,3").split(",").map(Number);
const STREAMS = 400;
const RELEASE_MS = 20_000;

interface Outcome {
  readonly taken: number;
  readonly continued: number;
  readonly joined: readonly string[];
}

/** Plays streams that break off and are taken up, beside releases and cuts. */
async function play(options: {
  readonly count: number;
  readonly seed: number;
  readonly hasTrouble: boolean;
}): Promise<Outcome> {
  const time = new VirtualTime();
  time.install();
  try {
    const random = createSeededRandom(options.seed);
    const fleet = new VersionFleet(options.count, random);
    const pick = <Value>(values: readonly Value[]): Value =>
      values[Math.floor(random() * values.length)] as Value;
    for (const n of [1, 2, 3])
      fleet.put(createRunner(`old-${n}`, { softwareVersion: "v1" }));
    for (const instance of fleet.instances) {
      instance.read({ isWholeList: true });
      instance.recordStart();
    }
    const joined: string[] = [];
    let taken = 0;
    let continued = 0;
    const runStream = async (id: string) => {
      await sleep(1_000 + random() * RELEASE_MS);
      const first = pick(fleet.instances);
      const runner = pick(first.runners);
      if (first.isCut && random() < 0.5) return;
      const context = VersionFleet.createContext(id);
      first.takeUps.recordBegun(context, runner.softwareVersion);
      await sleep(random() * 500);
      first.takeUps.recordEnded(context);
      await sleep(random() * 300);
      const version = await pick(fleet.instances).takeUps.findVersion(
        VersionFleet.createContext(`${id}-again`, {
          requestId: id,
          lastEventId: 5,
        }),
      );
      taken += 1;
      if (version === runner.softwareVersion) continued += 1;
      else if (version !== undefined)
        joined.push(`${id} goes on at ${version}`);
    };
    const release = async (name: string, version: string) => {
      await sleep(1_000 + random() * RELEASE_MS);
      for (const n of [1, 2]) {
        fleet.put(createRunner(`${name}-${n}`, { softwareVersion: version }));
        await sleep(random() * 300);
      }
      await sleep(random() * 6_000);
      for (const n of [1, 2]) fleet.remove(`${name}-${n}`);
    };
    const cut = async (instance: (typeof fleet.instances)[number]) => {
      await sleep(1_000 + random() * RELEASE_MS);
      await fleet.cut(instance, 100 + random() * 8_000);
    };
    const tasks = Array.from({ length: STREAMS }, (_, n) =>
      runStream(`stream-${n}`),
    );
    if (options.hasTrouble) {
      tasks.push(release("second", "v2"), release("third", "v3"));
      for (const instance of fleet.instances)
        if (random() < 0.6) tasks.push(cut(instance));
    }
    await time.runUntil(60_000);
    await Promise.all(tasks);
    return { taken, continued, joined };
  } finally {
    time.uninstall();
  }
}

for (const count of [9, 76, 300]) {
  for (const seed of SEEDS) {
    // Guards against streams of two versions joined where an instance lacks news.
    test(`no stream goes on at another version in a fleet of ${count}, seed ${seed}`, async () => {
      const { taken, joined } = await play({ count, seed, hasTrouble: true });
      assert.equal(joined, []);
      assert.ok(taken > STREAMS / 2);
    });

    test(`streams go on in calm in a fleet of ${count}, seed ${seed}`, async () => {
      const { taken, continued } = await play({
        count,
        seed,
        hasTrouble: false,
      });
      assert.ok(continued > taken / 2, `${continued} of ${taken}`);
    });
  }
}

test.run();
