import { test } from "uvu";
import * as assert from "uvu/assert";
import { FleetModel } from "./fleet_model.js";
import type { FleetOptions } from "./fleet_options.js";

/** Set by hand to play all cases with seeds 1 to PART_SEEDS. */
const SEEDS = Number(process.env.PART_SEEDS ?? 0);
const SMALL = { instances: 9, engines: 13, requestsPerSecond: 25 };
const MEDIUM = { instances: 76, engines: 34, requestsPerSecond: 35 };
const LARGE = { instances: 195, engines: 44, requestsPerSecond: 50 };
const SHARES = [0.01, 0.05, 0.15, 0.3];
const KINDS = ["first", "middle", "two", "turned"] as const;

function checkBounds(options: FleetOptions): void {
  const result = new FleetModel(options).run();
  const seen = `${JSON.stringify(options)}: ${JSON.stringify(result)}`;
  const { lateSound, sound } = result;
  assert.ok(result.lateDeadly <= 3, `deadly requests reach engines: ${seen}`);
  assert.ok(
    lateSound.refused <= lateSound.offered / 20,
    `sound requests are refused late: ${seen}`,
  );
  assert.ok(
    sound.refused <= sound.offered / 10,
    `sound requests are refused: ${seen}`,
  );
  assert.ok(
    result.longestRefusalMs <= 2_000,
    `an innocent part is quarantined for long: ${seen}`,
  );
  assert.is(result.innocentsAtEnd, 0, `an innocent part stays: ${seen}`);
}

for (const deadly of KINDS)
  for (const deadlyShare of SHARES)
    test(`a ${deadly} deadly part in ${deadlyShare} of requests is contained`, () => {
      checkBounds({ ...SMALL, deadly, deadlyShare, seed: 1 });
    });

test("a deadly part is contained in larger fleets", () => {
  checkBounds({ ...MEDIUM, deadly: "two", deadlyShare: 0.05, seed: 1 });
  checkBounds({ ...LARGE, deadly: "middle", deadlyShare: 0.05, seed: 1 });
});

test("a small fleet finds two deadly parts that the same first part precedes", () => {
  for (let seed = 1; seed <= 5; seed += 1)
    checkBounds({ ...SMALL, deadly: "two", deadlyShare: 0.3, seed });
});

if (SEEDS > 0)
  for (const fleet of [SMALL, MEDIUM, LARGE])
    for (const deadly of KINDS)
      for (const deadlyShare of SHARES)
        test(`${deadly}, ${fleet.instances} instances, ${deadlyShare}, all seeds`, () => {
          for (let seed = 1; seed <= SEEDS; seed += 1)
            checkBounds({ ...fleet, deadly, deadlyShare, seed });
        });

test.run();
