import process from "node:process";
import { suite } from "uvu";
import * as assert from "uvu/assert";
import { createSeededRandom, loadKnownRed } from "@jujubeladder/standins";
import { drawRestoreScenario } from "./restore_model/draw_restore_scenario.js";
import type { RestoreViolation } from "./restore_model/restore_violation.js";
import { runRestoreModel } from "./restore_model/run_restore_model.js";

const test = suite("fleets on a restored store");
const KNOWN_RED = loadKnownRed();
const SEEDS = (process.env["RESTORE_SEEDS"] ?? "1").split(",").map(Number);
const CASES = {
  "no configuration goes back": [
    "version_back",
    "keys_of_old_version",
    "version_late",
    "keys_refused",
  ],
  "no live runner is lost": ["live_runner_lost"],
  "no gone runner is used": ["gone_runner_used", "list_differs"],
} as const satisfies Record<string, readonly RestoreViolation[]>;
/** The smallest limit of the platforms. */
const MAX_CALLS_PER_S = 2_000;
const INSTANCES_PER_READER = 16;
/** Two watches of 0.7 s, and a list or document now and then. */
const MAX_CALLS_PER_READER_S = 6;
/** Whoever read for itself when a reader failed asks a reader again. */
const MAX_OTHER_CALLS_SHARE = 0.25;

for (const seed of SEEDS) {
  for (const instances of [9, 76, 195]) {
    for (const length of ["short", "long"] as const) {
      const name = `${instances} instances, ${length} outages, seed ${seed}`;
      const play = async () => {
        const random = createSeededRandom(seed * 1_000 + instances);
        const options = { seed, random };
        const scenario = drawRestoreScenario(instances, length, options);
        return runRestoreModel(scenario, random);
      };
      let played: ReturnType<typeof play> | undefined;
      for (const [rule, kinds] of Object.entries(CASES)) {
        test(`${rule} (${name})`, async () => {
          const { violations } = await (played ??= play());
          const found = kinds.flatMap((kind) => {
            const description = violations.get(kind);
            return description ? [`${kind}: ${description}`] : [];
          });
          const id = `unit/restored_store_fleet/${kinds[0]}-${instances}-${length}-${seed}`;
          if (found.length > 0 && KNOWN_RED.has(id)) {
            process.stdout.write(`${id} failed known_red=true: ${found}\n`);
            return;
          }
          assert.equal(found, []);
        });
      }
      test(`all end with one configuration and few readers (${name})`, async () => {
        const result = await (played ??= play());
        assert.is(result.differingTexts, 0);
        assert.ok(
          result.peakCallsPerS <= MAX_CALLS_PER_S,
          `${result.peakCallsPerS} calls in a second`,
        );
        const readers = Math.ceil(instances / INSTANCES_PER_READER);
        assert.ok(
          result.settledCallsPerS <=
            MAX_CALLS_PER_READER_S * readers +
              MAX_OTHER_CALLS_SHARE * instances,
          `${result.settledCallsPerS} calls in a second after the restores`,
        );
      });
    }
  }
}

test.run();
