/** Histograms and counters of one instance. */
export { buildHistogram } from "./build_histogram.js";
export type { CounterName } from "./counter_name.js";
export type { HistogramName } from "./histogram_name.js";
export { Metrics } from "./metrics.js";
