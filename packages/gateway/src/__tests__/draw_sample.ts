/** Draws `count` of the values, each at most once. */
export function drawSample<Value>(
  values: readonly Value[],
  count: number,
  random: () => number,
): readonly Value[] {
  return values
    .map((value) => ({ value, order: random() }))
    .sort((a, b) => a.order - b.order)
    .slice(0, Math.max(0, count))
    .map(({ value }) => value);
}
