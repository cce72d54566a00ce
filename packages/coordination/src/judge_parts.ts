import type { PartVerdict } from "./part_verdict.js";

/** Lost runners that no other part explains, at which a part is convicted. */
const QUARANTINE_THRESHOLD = 3;
/**
 * Separate losses in all at which a part is convicted that is known to have
 * lived: many requests hold it, so that most of its losses are likely another
 * part's, and all engines that fail at once are lost with it.
 */
const QUARANTINE_THRESHOLD_IF_LIVED = 5;

/** What is held against a part. */
interface PartCase {
  /** All lost runners; once the part is convicted, it explains them all. */
  readonly losses: ReadonlySet<string>;
  /** Those since which no request with the part has lived. */
  readonly countedLosses: ReadonlySet<string>;
  /** The number of these that happened at separate moments. */
  readonly separateLossCount: number;
  /** A request with the part is known to have lived, before the losses. */
  readonly hasLived: boolean;
}

interface Conviction {
  readonly members: readonly string[];
  readonly losses: ReadonlySet<string>;
  readonly countedLosses: ReadonlySet<string>;
}

/**
 * Finds the parts that explain the lost runners. Innocent parts wait on engines
 * that crash, so the part with the most losses is convicted first, and its
 * losses then count against no other part (greedy set cover); a conviction that
 * later ones make needless is dropped. Parts that were lost with the same
 * runners are convicted as a group. Parts that have lived come after those that
 * never did: a part of many requests is lost with each deadly one among them.
 * Returns a verdict for each part that has losses left to explain.
 */
export function judgeParts(
  cases: ReadonlyMap<string, PartCase>,
): ReadonlyMap<string, PartVerdict> {
  const convictions: Conviction[] = [];
  const explained = new Set<string>();
  for (;;) {
    const conviction = findConviction(cases, explained);
    if (!conviction) break;
    convictions.push(conviction);
    for (const loss of conviction.losses) explained.add(loss);
  }
  const verdicts = new Map<string, PartVerdict>();
  for (const [partId, { countedLosses }] of cases) {
    const lostRunners = countMissing(countedLosses, explained);
    if (lostRunners > 0)
      verdicts.set(partId, { type: "suspected", lostRunners });
  }
  for (const { members, countedLosses } of dropNeedless(convictions)) {
    const lostRunners = countedLosses.size;
    for (const partId of members)
      verdicts.set(partId, { type: "convicted", members, lostRunners });
  }
  return verdicts;
}

function findConviction(
  cases: ReadonlyMap<string, PartCase>,
  explained: ReadonlySet<string>,
): Conviction | undefined {
  let main: PartCase | undefined;
  let mainCount = 0;
  for (const partCase of cases.values()) {
    const { countedLosses, separateLossCount, hasLived } = partCase;
    if (hasLived && separateLossCount < QUARANTINE_THRESHOLD_IF_LIVED) continue;
    if (countedLosses.size < QUARANTINE_THRESHOLD) continue;
    const count = countMissing(countedLosses, explained);
    if (count < QUARANTINE_THRESHOLD) continue;
    const isStronger =
      main?.hasLived === hasLived ? count > mainCount : !hasLived;
    if (main && !isStronger) continue;
    main = partCase;
    mainCount = count;
  }
  if (!main) return undefined;
  const { losses, countedLosses, hasLived } = main;
  const members = [...cases]
    .filter(
      ([, other]) =>
        other.hasLived === hasLived &&
        other.countedLosses.size === countedLosses.size &&
        countMissing(other.countedLosses, countedLosses) === 0,
    )
    .map(([partId]) => partId);
  return { members, losses, countedLosses };
}

function dropNeedless(
  convictions: readonly Conviction[],
): readonly Conviction[] {
  let kept = convictions;
  for (const conviction of convictions) {
    const others = kept.filter((other) => other !== conviction);
    const covered = new Set(others.flatMap(({ losses }) => [...losses]));
    if (countMissing(conviction.countedLosses, covered) === 0) kept = others;
  }
  return kept;
}

function countMissing(
  losses: ReadonlySet<string>,
  from: ReadonlySet<string>,
): number {
  let count = 0;
  for (const loss of losses) if (!from.has(loss)) count += 1;
  return count;
}
