import type { Histogram } from "hdr-histogram-js";
// The main module of the package also loads its encodings, log formats and
// WebAssembly, of which nothing is used here.
import int32Histogram from "hdr-histogram-js/dist/Int32Histogram.js";

const LOWEST_VALUE = 1;
const SIGNIFICANT_DIGITS = 2;

/** Returns an empty histogram of values from 1 to `highestValue`. */
export function buildHistogram(highestValue: number): Histogram {
  const histogram = new int32Histogram.default(
    LOWEST_VALUE,
    highestValue,
    SIGNIFICANT_DIGITS,
  );
  histogram.autoResize = true;
  return histogram;
}
