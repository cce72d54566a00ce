import type { Runner } from "@jujubeladder/types";

/** What the choice of a plain runner rests on. */
interface PlainChoice {
  readonly region: string;
  readonly activeCalls: (runnerId: string) => number;
  readonly random: () => number;
}

/**
 * Chooses the less busy of two random runners, in the own region if any is
 * left there. Two choices keep instances from all taking the same one.
 */
export function choosePlainRunner(
  runners: readonly Runner[],
  choice: PlainChoice,
): Runner | undefined {
  const near = runners.filter((runner) => runner.region === choice.region);
  const pool = near.length > 0 ? near : runners;
  const first = pickRandom(pool, choice.random);
  const second = pickRandom(pool, choice.random);
  if (!first || !second) return undefined;
  const firstCalls = choice.activeCalls(first.runnerId);
  return firstCalls <= choice.activeCalls(second.runnerId) ? first : second;
}

function pickRandom(
  runners: readonly Runner[],
  random: () => number,
): Runner | undefined {
  return runners[Math.floor(random() * runners.length)];
}
