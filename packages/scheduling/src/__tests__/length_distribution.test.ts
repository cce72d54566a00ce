import { test } from "uvu";
import * as assert from "uvu/assert";
import { LengthDistribution } from "../length_distribution.js";

const SAMPLES = 400;

test("a long-running stream is more likely to continue than a new one", () => {
  const lengths = new LengthDistribution();
  for (let index = 0; index < SAMPLES; index += 1) {
    lengths.record(index % 10 === 0 ? 2_000 : 20);
  }
  const fresh = lengths.survival(0, 500);
  const old = lengths.survival(100, 500);
  assert.ok(fresh < 0.15, `fresh ${fresh}`);
  assert.ok(old > 0.9, `old ${old}`);
});

test("old samples expire", () => {
  const lengths = new LengthDistribution();
  for (let index = 0; index < SAMPLES; index += 1) lengths.record(1_000);
  for (let index = 0; index < 2 * SAMPLES; index += 1) lengths.record(10);
  assert.ok(lengths.meanTokens < 20);
});

test.run();
