/** What ranks a suspicion among others. */
interface RankedSuspicion {
  /** Those that count. */
  readonly lostRunners: ReadonlySet<string>;
  readonly clearedRunners: ReadonlySet<string>;
  readonly lastLossAtMs: number;
}

/**
 * Sorts suspicions by what they decide: verdicts first, then by the number of
 * losses that may meet others at a peer, those that count before those that
 * were cleared and may count there, then the newest first.
 */
export function rankSuspicions<Suspicion extends RankedSuspicion>(
  suspicions: readonly (readonly [string, Suspicion])[],
  quarantineThreshold: number,
): readonly (readonly [string, Suspicion])[] {
  return suspicions
    .map((entry) => {
      const [, { lostRunners, clearedRunners, lastLossAtMs }] = entry;
      const count = lostRunners.size;
      const isVerdict = count >= quarantineThreshold;
      const weight = isVerdict
        ? quarantineThreshold
        : Math.min(count + clearedRunners.size, quarantineThreshold - 1);
      return { entry, weight, count: isVerdict ? 0 : count, lastLossAtMs };
    })
    .sort(
      (a, b) =>
        b.weight - a.weight ||
        b.count - a.count ||
        b.lastLossAtMs - a.lastLossAtMs,
    )
    .map(({ entry }) => entry);
}
