import { execFileSync } from "node:child_process";
import process from "node:process";
import { test } from "uvu";
import * as assert from "uvu/assert";
import { buildHistogram } from "../build_histogram.js";

const HIGHEST_VALUE = 1_000;
const TIMEOUT_MS = 20_000;

/** Prints the CommonJS modules that a module has loaded. */
const LIST_MODULES = `
  await import(process.argv[1]);
  const { createRequire } = await import("node:module");
  console.log(Object.keys(createRequire(process.cwd() + "/").cache).join("\\n"));
`;

test("a histogram counts values and finds their percentiles", () => {
  const histogram = buildHistogram(HIGHEST_VALUE);
  for (let value = 1; value <= 100; value += 1) histogram.recordValue(value);
  assert.is(histogram.totalCount, 100);
  assert.is(histogram.getValueAtPercentile(50), 50);
  assert.is(histogram.maxValue, 100);
});

test("a histogram takes values above its highest one", () => {
  const histogram = buildHistogram(HIGHEST_VALUE);
  histogram.recordValue(5 * HIGHEST_VALUE);
  assert.is(histogram.totalCount, 1);
});

test("nothing but the histogram is loaded for histograms", () => {
  const url = new URL("../mod.js", import.meta.url).href;
  const modules = execFileSync(
    process.execPath,
    ["--input-type=module", "--eval", LIST_MODULES, url],
    { encoding: "utf8", timeout: TIMEOUT_MS },
  );
  assert.match(modules, /hdr-histogram-js\/dist\/Int32Histogram\.js$/m);
  assert.not.match(modules, /hdr-histogram-js\/dist\/(?:index|wasm|encoding)/);
  assert.not.match(modules, /node_modules\/pako\//);
});

test.run();
