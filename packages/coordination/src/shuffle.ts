/** Returns the ids in random order; `random` returns a number in [0, 1). */
export function shuffle(
  ids: readonly string[],
  random: () => number = Math.random,
): readonly string[] {
  return ids
    .map((id) => ({ id, key: random() }))
    .sort((a, b) => a.key - b.key)
    .map((entry) => entry.id);
}
