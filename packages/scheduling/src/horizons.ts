/** Horizons of memory forecasts, in tokens yet to be generated. */
export const HORIZONS_TOKENS: readonly number[] = [
  0, 32, 128, 384, 1_024, 3_072, 8_192,
];
