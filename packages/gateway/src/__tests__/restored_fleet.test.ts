import { suite } from "uvu";
import * as assert from "uvu/assert";
import { RestoredFleetModel } from "./restored_fleet_model.js";

const test = suite("restored fleet");
/** Set by hand to play more seeds. */
const SEEDS = Number(process.env["RESTORE_SEEDS"] ?? 20);
const DURATION_MS = 120_000;
const { performance } = globalThis;
const realNow = performance.now.bind(performance);
const clock = { nowMs: 0 };

test.before(() => {
  performance.now = () => clock.nowMs;
});

test.after(() => {
  performance.now = realNow;
});

const seen = { restores: 0, returned: 0, goneListedAgain: 0 };

for (let seed = 1; seed <= SEEDS; seed += 1)
  test(`no restore loses a live runner or revives a gone one, seed ${seed}`, async () => {
    const result = await new RestoredFleetModel(seed, clock).run(DURATION_MS);
    assert.equal(result.violations, [], `seed ${seed}`);
    seen.restores += result.restores;
    seen.returned += result.returned;
    seen.goneListedAgain += result.goneListedAgain;
  });

// Guards against checks that hold because nothing happens.
test("runners came back and gone ones were listed again in these seeds", () => {
  const { restores, returned, goneListedAgain } = seen;
  assert.ok(
    restores >= 3 * SEEDS && returned >= SEEDS && goneListedAgain >= SEEDS,
    JSON.stringify(seen),
  );
});

test.run();
